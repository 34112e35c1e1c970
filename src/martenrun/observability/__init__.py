"""Logs and metrics of a process; neither ever holds prompt text or keys."""
