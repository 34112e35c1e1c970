"""Output of the stand-in engine: a fixed function of the prompt and the weights version.

A resumed stream can therefore be checked token by token against an unbroken one.
"""

import hashlib

BYTES_PER_TOKEN = 4
"""Bytes of prompt text counted as one token."""

_WORDS = ("season", "note", "block", "tally", "weight", "permit", "market", "stall")


class TokenSequence:
    """The output tokens for one prompt under one weights version."""

    def __init__(self, text: bytes, weights_version: str) -> None:
        key = weights_version.encode()[:64]
        self._digest = hashlib.blake2b(text, digest_size=32, key=key).digest()

    def token(self, index: int) -> str:
        """Return the text of output token ``index``, counted from 0."""
        chosen = self._digest[index % len(self._digest)] + index
        return f"{_WORDS[chosen % len(_WORDS)]}-{index} "

    def text(self, count: int) -> str:
        """Return the text of the first ``count`` tokens."""
        return "".join(self.token(index) for index in range(count))
