"""Processing of one request: admission, attempts and the exchange with its caller."""
