"""A request between an agent and its home node.

See also: :mod:`martenrun.ownership.home`, :mod:`martenrun.claims.logic`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class DecideRequest:
    """Agent to node: which runner serves this request?

    ``chain`` is hashed with ``weights_version``; ``deadline_s`` is the time left, not a time
    of day; ``idempotency_key`` is empty for repeatable requests.
    """

    request_id: str = ""
    tenant: str = ""
    model: str = ""
    weights_version: str = ""
    chain: bytes = b""
    prompt_bytes: int = 0
    maximum_output_tokens: int = 0
    priority: int = 0
    deadline_s: float = 0.0
    idempotency_key: str = ""
    zone: str = ""
    excluded_runners: list[str] = field(default_factory=list)
    attempt: int = 0


@dataclass(slots=True)
class Grant:
    """Node to agent: send the attempt to this runner.

    The engine may import ``import_blocks`` leading blocks from its store, 0 for none; see
    :class:`martenrun.backends.kv_transfers.ImportOffer`.
    """

    request_id: str = ""
    attempt: int = 0
    runner: str = ""
    address: str = ""
    incarnation: str = ""
    weights_version: str = ""
    believed_blocks: int = 0
    priority: int = 0
    import_blocks: int = 0
    import_least_blocks: int = 0
    import_wait_ms: int = 0


@dataclass(slots=True)
class Queued:
    """Node to agent: the question waits in a queue; repeated while it does."""

    request_id: str = ""
    attempt: int = 0
    expected_wait_s: float = 0.0


@dataclass(slots=True)
class Refusal:
    """Node to agent: a typed error; ``retry_after_s`` below zero means none."""

    request_id: str = ""
    attempt: int = 0
    code: str = ""
    message: str = ""
    remedy: str = ""
    ran: str = "no"
    retry_after_s: float = -1.0


@dataclass(slots=True)
class AttemptReport:
    """Agent to node: an attempt has ended; ``outcome`` is an :class:`AttemptOutcome` value.

    ``import_ms`` is 0 if the engine did not import; ``imported_blocks`` is below 0 if it failed.
    """

    request_id: str = ""
    attempt: int = 0
    runner: str = ""
    outcome: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token_s: float = 0.0
    import_held_blocks: int = 0
    imported_blocks: int = 0
    import_ms: int = 0


@dataclass(slots=True)
class WithdrawRequest:
    """Agent to node: the caller has gone; forget the question or give the slot back."""

    request_id: str = ""
    attempt: int = 0


@dataclass(slots=True)
class ClaimReport:
    """Agent to node: a keyed request has its final answer; ``state`` is a ClaimState value."""

    request_id: str = ""
    tenant: str = ""
    idempotency_key: str = ""
    state: str = ""
