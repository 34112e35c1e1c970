"""Configuration objects, their state in each process, and how they reach it."""
