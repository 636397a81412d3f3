"""What a gateway reports of itself: decisions, metrics, explanations."""
