"""Bodies of the stand-in engine's OpenAI-compatible API."""

import msgspec

from martenrun.identity.prompt import (
    ChatMessage,
    canonical_chat_text,
    canonical_completion_text,
)
from martenrun.standins.engine.tokens import BYTES_PER_TOKEN

TERMINATOR = b"data: [DONE]\n\n"


class EngineBody(msgspec.Struct):
    """Fields of a completion or chat request that the engine reads.

    ``resume_from`` output tokens, whose text is ``resume_text``, exist already; the answer
    goes on with the next one and ends, as the whole would have, at ``max_tokens``.
    ``user`` is the caller's own; it is only reported.
    """

    model: str
    prompt: str = ""
    messages: list[ChatMessage] = msgspec.field(default_factory=list)
    max_tokens: int = 16
    stream: bool = False
    priority: int = 0
    cache_salt: str = ""
    request_id: str = ""
    resume_from: int = 0
    resume_text: str = ""
    user: str = ""


class PromptDetails(msgspec.Struct):
    """How many tokens of the prompt came from the prefix cache, and what was imported first.

    ``imported_blocks`` is -1 if the KV store failed; ``import_ms`` is 0 without an import.
    """

    cached_tokens: int
    import_held_blocks: int = 0
    imported_blocks: int = 0
    import_ms: int = 0


class Usage(msgspec.Struct):
    """Token counts of one request; ``completion_tokens`` includes resumed ones."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptDetails


class Text(msgspec.Struct):
    """Content of a chat answer or of a piece of it."""

    content: str = ""
    role: str = "assistant"


class Choice(msgspec.Struct, omit_defaults=True):
    """The one choice of an answer; which field holds the text depends on the path."""

    index: int
    finish_reason: str | None
    text: str | None = None
    delta: Text | None = None
    message: Text | None = None


class Answer(msgspec.Struct, omit_defaults=True):
    """A whole answer or one piece of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: Usage | None = None


class Completion:
    """One request and the shape of its answers."""

    def __init__(self, body: EngineBody, is_chat: bool) -> None:
        self.body = body
        self._is_chat = is_chat
        self.text = (
            canonical_chat_text(body.messages)
            if is_chat
            else canonical_completion_text(body.prompt)
        )

    def piece(self, text: str) -> bytes:
        """Return the event of one token."""
        choice = Choice(0, None, delta=Text(text)) if self._is_chat else Choice(0, None, text=text)
        return self._event(self._answer(choice, "chat.completion.chunk"))

    def finish(self, output_tokens: int, details: PromptDetails) -> bytes:
        """Return the event with the finish reason and the usage."""
        if self._is_chat:
            choice = Choice(0, "length", delta=Text())
        else:
            choice = Choice(0, "length", text="")
        answer = self._answer(choice, "chat.completion.chunk")
        answer.usage = self._usage(output_tokens, details)
        return self._event(answer)

    def whole(self, text: str, output_tokens: int, details: PromptDetails) -> Answer:
        """Return the answer of a request that is not streamed."""
        if self._is_chat:
            choice = Choice(0, "length", message=Text(text))
        else:
            choice = Choice(0, "length", text=text)
        answer = self._answer(choice, "chat.completion")
        answer.usage = self._usage(output_tokens, details)
        return answer

    def _answer(self, choice: Choice, chat_object: str) -> Answer:
        kind = chat_object if self._is_chat else "text_completion"
        return Answer(self.body.request_id or "request", kind, 0, self.body.model, [choice])

    def _usage(self, output_tokens: int, details: PromptDetails) -> Usage:
        prompt_tokens = max(1, len(self.text) // BYTES_PER_TOKEN)
        total_tokens = prompt_tokens + output_tokens
        return Usage(prompt_tokens, output_tokens, total_tokens, details)

    @staticmethod
    def _event(answer: Answer) -> bytes:
        return b"data: " + msgspec.json.encode(answer) + b"\n\n"
