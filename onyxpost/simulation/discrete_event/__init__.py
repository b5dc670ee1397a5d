"""Discrete-event simulation of a whole deployment, running the decision code of real edge nodes."""
