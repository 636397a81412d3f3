"""What is refused or held back: retries, planned stops, readiness."""
