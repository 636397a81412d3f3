"""Limits of this VM: retries, cold servers, planned stops and readiness."""
