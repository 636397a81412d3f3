"""Quarantine of requests that crash backend servers."""
