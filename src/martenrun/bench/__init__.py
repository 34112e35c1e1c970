"""Benchmarks: one module each, with a click command."""
