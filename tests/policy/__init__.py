"""Tests of the decisions: events in, decisions out, no sockets."""
