"""Small stand-ins for the systems martenrun meets: engines, object API, machine list."""
