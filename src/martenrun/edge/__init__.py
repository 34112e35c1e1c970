"""HTTP edges: the caller's API, shared by the agent and the node's front."""
