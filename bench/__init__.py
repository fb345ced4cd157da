"""Benchmarks of the whole system and its parts, a load tool and a demonstration."""
