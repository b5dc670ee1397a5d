"""Types, events and arithmetic shared by the decision code and its hosts, without decisions or I/O."""
