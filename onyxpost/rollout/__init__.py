"""New routing rules in stages, halted by what the fleet sees; loaded only where a node's file names it."""
