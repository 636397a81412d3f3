"""What a process tells of itself: decisions, metrics, dumps, explanations."""
