"""onyxpost: a gateway that enforces customer quotas in front of a shared back end."""

__version__ = "0.2.0"
