"""Who is there: the fleet's other VMs, and the health of backend servers."""
