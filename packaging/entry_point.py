"""Entry point of the one-file binary."""

from pimentodrift.cli import main

main()
