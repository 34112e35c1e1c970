"""Named constants shared by more than one package, with their units in their names."""

BLOCK_HASH_BYTES = 8
"""Width of one block hash on the wire and in the index, in bytes."""

DEFAULT_BLOCK_BYTES = 4_000
"""Default length of one prompt block, in bytes of canonical prompt text."""

TICK_INTERVAL_S = 0.05
"""Time between two clock events given to the decision logic of a process, in seconds."""

MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024
"""Largest internal message accepted, in bytes; a longer frame closes the connection."""

MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
"""Largest HTTP request body accepted at an edge, in bytes."""

DECISION_TIMEOUT_S = 1.0
"""How long an agent waits for a node's answer before it asks another node, in seconds."""

ENGINE_CONNECT_TIMEOUT_S = 1.0
"""Time allowed to open a connection to an engine, in seconds."""

ENGINE_READ_TIMEOUT_S = 30.0
"""Longest silence accepted on an engine's stream, in seconds."""

MAXIMUM_DATAGRAM_BYTES = 1_200
"""Largest datagram sent between nodes, in bytes; it fits one packet on any usual network."""

CLAIM_KIND = "claims"
"""Kind of claim objects in the object API; not a kind that operators publish."""

RESUME_WINDOW_S = 5.0
"""Time that a broken stream is given to go on elsewhere, past its deadline too, in seconds."""

MAXIMUM_OBJECT_BYTES = 256 * 1024
"""Largest configuration object accepted by the administration API, in bytes of JSON."""
