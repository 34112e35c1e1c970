"""Internal protocol between agents and nodes: messages, codec, transport."""
