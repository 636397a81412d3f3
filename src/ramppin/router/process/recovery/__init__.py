"""What a process knows again after a loss: replicas of the log, peers, files."""
