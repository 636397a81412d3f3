"""Versions of the settings: schema, inheritance, acceptance of changes."""
