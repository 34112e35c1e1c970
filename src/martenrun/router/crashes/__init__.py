"""Attributes runner crashes to requests and blocks crash-causing ones."""
