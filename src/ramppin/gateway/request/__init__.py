"""What lives for a request: admission, attempts, the exchange with its caller."""
