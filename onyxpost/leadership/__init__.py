"""Leader election by leases: at most one node at a time leads each named role (docs/leadership.md).

A majority of acceptors grants the lease of a role. Each election has a higher fencing token than all earlier
ones, which renewals of the lease keep. The elected leader also receives a small record that the previous
leader wrote.

`acceptor`, `candidate`, `leader`, `participant` and `registry` are state machines; `service` runs them on the
cluster's connections. A module that is called pure neither does I/O nor reads a clock: its callers pass the
time in, and execute the effects that it returns.
"""
