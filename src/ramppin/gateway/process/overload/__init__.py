"""Overload control: capacity of services, admission queue and early rejection."""
