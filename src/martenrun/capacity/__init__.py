"""Cost of each role at the target size, worked out from measured slopes."""
