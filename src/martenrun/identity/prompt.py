"""Canonical text of a prompt: what engines and agents both cut into blocks."""

import msgspec

from martenrun.errors import InvalidRequestError


class ContentPart(msgspec.Struct):
    """One part of a message's content, in OpenAI's shape; only text is served."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct):
    """One message of a chat request, in OpenAI's shape; other fields are ignored here."""

    role: str
    content: str | list[ContentPart] | None = None

    def text(self) -> str:
        """Return the content as one text; raises InvalidRequestError for other parts."""
        if self.content is None:
            return ""
        if isinstance(self.content, str):
            return self.content
        for part in self.content:
            if part.type != "text":
                raise InvalidRequestError(f"content part type {part.type!r} is not served")
        return "".join(part.text for part in self.content)


def canonical_chat_text(messages: list[ChatMessage]) -> bytes:
    """Join chat messages so that a longer conversation extends a shorter one's text."""
    if not messages:
        raise InvalidRequestError("field 'messages' is empty")
    parts = [f"<|{message.role}|>{message.text()}" for message in messages]
    return "".join(parts).encode()


def canonical_completion_text(prompt: str) -> bytes:
    """Return the canonical text of a plain completion prompt."""
    return prompt.encode()
