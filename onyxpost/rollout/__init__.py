"""New routing rules in stages, halted by what the fleet sees. Loaded only where a node's file names it."""
