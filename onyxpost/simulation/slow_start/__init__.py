"""Emulates servers in slow start under the requests of many nodes, and counts what each server receives."""
