"""The order in which the statements that wait for an endpoint are served.

`decisions` has the order, `admission` who is refused and when to come back; both are
functions without state and clock. `rows` has what a queue remembers, `serving` applies
the decisions to the pools, and `selection` says where the policy is in force.
"""
