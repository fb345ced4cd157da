"""Runs the command line with `python -m pimentodrift`."""

from .cli import main

main()
