"""What lives for a connection: callers, backend servers, datagrams, calls to peers."""
