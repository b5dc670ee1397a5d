"""Routing rules, which restrict the servers that a request may be sent to. Only `file` does I/O."""
