"""Runtime support for all programs: network transport, clock, signals, HTTP/1.1 framing, structured log."""
