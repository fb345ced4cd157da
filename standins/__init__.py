"""Small stand-ins for external systems: the store, database groups and network links.

They speak the published protocols, so that an instance cannot tell them from the real
systems. The `local` command, the tests and the benchmarks run them; instances never
import this package.
"""
