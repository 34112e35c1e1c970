"""Limits on responses, so that one without an end does not fill the memory."""

MAXIMUM_FIELDS = 256
"""Maximum number of header and trailer fields received for one request."""

MAXIMUM_FIELD_BYTES = 65_536
"""Maximum size of these fields, names and values."""

MAXIMUM_OVERHEAD_BYTES = 1_048_576
"""Maximum number of bytes received for one request that are not part of its response's body.

Heads, interim responses and late responses to earlier requests are overhead.
"""

FRAMING_BYTES = 8
"""Overhead allowed in addition for each byte of the body: chunks may hold single bytes."""

MAXIMUM_BODY_BYTES = 4_194_304
"""Maximum size of a body that is buffered until it is complete."""

MAXIMUM_BUFFERED_BYTES = 33_554_432
"""Default maximum size of all bodies that are buffered at a time."""

SMALL_BODY_BYTES = 262_144
"""Bodies up to this size are buffered whatever the others take."""


class ResponseSize:
    """What has been received for one request."""

    def __init__(self) -> None:
        self._received = 0
        self._body = 0
        self._fields = 0
        self._field_bytes = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether a limit is exceeded."""
        overhead = self._received - self._body
        return (
            self._fields > MAXIMUM_FIELDS
            or self._field_bytes > MAXIMUM_FIELD_BYTES
            or overhead > MAXIMUM_OVERHEAD_BYTES + FRAMING_BYTES * self._body
        )

    def add_received(self, size: int) -> None:
        """Count bytes received from the connection."""
        self._received += size

    def add_body(self, size: int) -> None:
        """Count bytes of the response's body."""
        self._body += size

    def accepts_field(self, name: bytes, value: bytes) -> bool:
        """Count a field; return whether it is within the limits and may be kept."""
        self._fields += 1
        self._field_bytes += len(name) + len(value)
        return self._fields <= MAXIMUM_FIELDS and self._field_bytes <= MAXIMUM_FIELD_BYTES


class BodyMemory:
    """Counts the memory of all buffered bodies.

    Args:
        budget: maximum size of all of them, in bytes.
    """

    def __init__(self, budget: int = MAXIMUM_BUFFERED_BYTES) -> None:
        self.budget = budget
        self.size = 0


class BodyBuffer:
    """Buffers one body until it is complete.

    Attributes:
        data: the bytes received so far.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._reserved = 0
        self.data = bytearray()

    def fits(self, more: int) -> bool:
        """Return whether this many more bytes may be buffered."""
        size = self._reserved + more
        is_small = size <= SMALL_BODY_BYTES
        has_memory = self._memory.size + more <= self._memory.budget
        return size <= MAXIMUM_BODY_BYTES and (is_small or has_memory)

    def append(self, data: bytes) -> bool:
        """Append received bytes; return False without doing so if they exceed a limit."""
        if not self.fits(len(data)):
            return False
        self._reserved += len(data)
        self._memory.size += len(data)
        self.data += data
        return True

    def release(self) -> None:
        """Stop counting the body, which its owner will forward or drop now."""
        self._memory.size -= self._reserved
        self._reserved = 0
