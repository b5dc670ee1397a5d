"""The edge node as a program: its config file, components, phases and reloads."""
