"""Recovery of state after a loss: replicas of the log, peers, files."""
