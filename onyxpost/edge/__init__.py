"""Network side of an edge node: sockets, HTTP and discovery. The policy decides on quotas and routing."""
