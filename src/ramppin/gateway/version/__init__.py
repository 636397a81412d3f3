"""Models of one version of the settings: routes, services, customers, limits."""
