"""What lives for a connection: log, VM list, backend servers, peer links."""
