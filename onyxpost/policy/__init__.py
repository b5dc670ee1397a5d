"""Every decision of an edge node; `onyxpost/interface.py` tells how to call it."""
