"""Small stand-ins for the outside systems: store, database groups and network links.

They speak the published protocols, so that an instance cannot tell the difference.
The `local` command, the tests and the benchmarks use them; an instance never does.
"""
