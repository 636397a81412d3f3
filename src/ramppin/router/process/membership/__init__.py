"""Who is in the fleet: VMs, backend servers, leases on shards."""
