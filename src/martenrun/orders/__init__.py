"""Fenced orders to engines and the roll of new weights through a pool."""
