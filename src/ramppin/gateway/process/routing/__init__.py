"""Which backend server gets a request: loads and homes of prefixes."""
