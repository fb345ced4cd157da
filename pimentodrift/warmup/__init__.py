"""Limits the statements that a database gets while it is slow after its start.

`decisions` computes the limit and how long it lasts, `knowledge` records what is known
about each endpoint's start, `losses` tells other instances of it, `limits` keeps the
token bucket of each endpoint beside those of the workspaces, `statements` takes a token
before each send, and `samples` gets a cold primary's position for all instances.
"""
