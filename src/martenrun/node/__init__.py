"""The node: answers agents' questions, administers the configuration."""
