"""Canonical text of a prompt: what engines and agents both cut into blocks."""

import msgspec

from martenrun.errors import InvalidRequestError


class ChatMessage(msgspec.Struct):
    """One message of a chat request, in OpenAI's shape; other fields are ignored here."""

    role: str
    content: str


def canonical_chat_text(messages: list[ChatMessage]) -> bytes:
    """Join chat messages so that a longer conversation extends a shorter one's text."""
    if not messages:
        raise InvalidRequestError("field 'messages' is empty")
    parts = [f"<|{message.role}|>{message.content}" for message in messages]
    return "".join(parts).encode()


def canonical_completion_text(prompt: str) -> bytes:
    """Return the canonical text of a plain completion prompt."""
    return prompt.encode()
