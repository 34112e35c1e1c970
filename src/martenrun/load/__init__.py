"""Load generation and small local deployments, for the demo, tests and benchmarks."""
