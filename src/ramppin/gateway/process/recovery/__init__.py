"""Replicas of the tables that a gateway follows, read from the log, peers or a file."""
