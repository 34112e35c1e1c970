"""Small stand-ins of the platform's store and runners, for tests, the demo and the soak."""
