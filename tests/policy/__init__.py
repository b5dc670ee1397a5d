"""Tests of the decision code: events go in, decisions come out, without sockets."""
