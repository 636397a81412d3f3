"""The gateway: passes HTTP through unchanged, each VM deciding for itself.

It imports nothing of :mod:`ramppin.router`. Folders by life span: ``request``,
``connection``, ``version`` (of the settings), ``process``.
"""
