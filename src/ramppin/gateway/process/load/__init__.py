"""What a VM knows of the load of backend servers, from whom, and how old it is."""
