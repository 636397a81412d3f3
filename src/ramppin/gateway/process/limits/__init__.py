"""What is limited: retries, requests during a planned stop, readiness."""
