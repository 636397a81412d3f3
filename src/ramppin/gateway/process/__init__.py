"""State and background work of a gateway process, in one package per decision."""
