"""Stand-ins of the second review: clients, runners, the store and links, on one asyncio loop."""
