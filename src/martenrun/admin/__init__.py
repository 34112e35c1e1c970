"""The administration API, served by every node."""
