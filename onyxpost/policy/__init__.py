"""All decisions of an edge node; `onyxpost/core/sink.py` defines how a host calls them."""
