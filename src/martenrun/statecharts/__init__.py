"""State charts in TOML files, compiled once into tables that the code interprets."""
