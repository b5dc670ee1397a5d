"""The decision code of an edge node. `onyxpost/core/sink.py` defines the interface to its hosts."""
