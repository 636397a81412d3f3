"""What lives for a version of the settings: routes, services, customers, limits."""
