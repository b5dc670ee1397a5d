"""Bounded model checking: explores all sequences of a small model's actions up to a depth.

See docs/simulation.md.
"""
