"""Stand-ins of clients, runners and the platform's store; Python's standard library only."""
