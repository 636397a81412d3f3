"""Overload control: capacity of the services, and which requests may start when."""
