"""What lives for a request: identity, ranking, placement, outcome, trace."""
