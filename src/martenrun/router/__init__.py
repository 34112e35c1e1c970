"""The router process: takes callers' requests, decides, and carries them to runners."""
