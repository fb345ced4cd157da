"""Measurements of the built system, with regression bounds from the stated targets."""
