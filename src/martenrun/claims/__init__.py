"""At-most-once claims of idempotency keys, kept in the object API."""
