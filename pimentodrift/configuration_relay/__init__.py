"""Passes the configuration from relays to their followers in a larger fleet.

Answers to the load that a change puts on the store: each instance that watches the
configuration itself reads it and begins another watch. A relay sends the whole object
to the followers that have an older one. `sending` is the relay's part, `receiving` the
follower's, `encoding` has the form on the wire.
"""
