"""Makes all instances stop using a group's old primary before another is promoted.

Needed on platforms where a promotion does not depose the old primary at once.
`decisions` has the policy, `permissions` what an instance may send to an endpoint,
`contact` whether it would know of a newer decision, `stopping` ends an instance's work
at endpoints that lost it, and `coordination` waits until no instance can have such work
any more.
"""
