"""The members of the fleet: VMs, backend servers, leases on shards."""
