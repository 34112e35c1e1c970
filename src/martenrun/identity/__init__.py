"""Identities of prompts, tenants and runners."""
