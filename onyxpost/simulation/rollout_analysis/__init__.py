"""Emulated rollouts, which measure how soon the analysis finds regressions and how often it halts falsely."""
