"""Connections to callers and backend servers, datagrams, and calls to peers."""
