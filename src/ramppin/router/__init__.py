"""The router: counts exactly, with owners of shards, leases and claims.

It imports nothing of :mod:`ramppin.gateway`. Folders by life span: ``request``,
``connection``, ``version`` (of the settings), ``process``.
"""
