"""Discrete-event simulation of a whole deployment, running the decision code of real edge nodes.

A try is what a client sends to a node for one of its requests, the first time or as a retry. An attempt is
what a node sends to an app server for a try.
"""
