"""Emulates servers in slow start that many nodes send requests to, and measures the load of each server."""
