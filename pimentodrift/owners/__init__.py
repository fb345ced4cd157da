"""Makes one instance the owner of each endpoint with scarce connections.

The owner holds the endpoint's connections and runs the statements of all instances'
sessions on them. `ownership` tells who owns an endpoint, `forwarding` is the part of
the entry (the instance with the client's session), `serving` and `replies` are that of
the owner. docs/design/owners.md has the reasons.
"""
