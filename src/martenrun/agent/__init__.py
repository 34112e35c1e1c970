"""The agent: the process beside each caller, which carries the bytes of requests."""
