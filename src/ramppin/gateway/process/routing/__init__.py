"""Selection of the backend server for a request, by load and by homes of prefixes."""
