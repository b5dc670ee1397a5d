"""Plumbing that all programs share: network and clock, HTTP/1.1 framing, the log."""
