"""Follows the platform's store: its calls, replicas of its datasets, and relays between routers."""
