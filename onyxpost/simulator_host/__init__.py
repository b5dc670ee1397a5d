"""The simulator's host protocol: decodes events, hosts a gateway per node, encodes actions. No decisions."""
