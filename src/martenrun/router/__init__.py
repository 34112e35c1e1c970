"""The router: admits callers' requests, chooses runners and forwards requests to them."""
