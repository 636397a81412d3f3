"""What a gateway tells of itself: decisions, metrics, explanations."""
