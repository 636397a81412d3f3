"""Requests under which backend servers end: what is known of them, and what follows."""
