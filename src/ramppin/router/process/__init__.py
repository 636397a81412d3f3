"""What lives for a process: router, allocator, leases, claims, listeners."""
