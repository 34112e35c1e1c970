"""Which nodes are alive: views, failure detection, gossip."""
