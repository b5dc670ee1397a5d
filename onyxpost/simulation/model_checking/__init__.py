"""Bounded model checking: every order of the actions of a small model, up to a depth (docs/simulation.md)."""
