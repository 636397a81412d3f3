"""What a process reports about itself: decisions, metrics, dumps, explanations."""
