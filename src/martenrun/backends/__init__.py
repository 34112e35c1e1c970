"""Adapters of outside systems; nothing else knows their field names."""
