"""Handling of one request: identity, placement, sending, outcome and trace."""
