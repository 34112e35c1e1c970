"""Settings of processes, read from a TOML file and flags."""
