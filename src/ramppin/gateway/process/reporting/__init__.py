"""Decision lines, metrics and explanations that a gateway reports to operators."""
