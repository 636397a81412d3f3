"""Which backend server gets a request: loads, homes of prefixes, places."""
