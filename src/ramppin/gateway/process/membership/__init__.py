"""Membership of the fleet: its other VMs, and the health of backend servers."""
