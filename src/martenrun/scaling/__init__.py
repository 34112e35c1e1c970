"""Runners that move between pools: assignments, demand by pool, and deciding on moves."""
