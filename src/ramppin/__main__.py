"""Runs the command line: ``python -m ramppin``."""

from ramppin.cli import main

main()
