"""Stand-in for a model engine: batching time model, prefix cache, OpenAI-compatible API."""
