"""Load estimates of backend servers, and the exchange of load reports between VMs."""
