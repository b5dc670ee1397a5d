"""The simulator's host protocol: decodes events, hosts a gateway per node, encodes actions.

It makes no decisions.
"""
