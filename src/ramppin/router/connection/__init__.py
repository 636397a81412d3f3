"""Network clients and servers: log, VM list, backend servers, peer links."""
