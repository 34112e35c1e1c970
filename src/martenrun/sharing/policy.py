"""Sharing policies: CEL expressions that give a tenant's weight.

``check_policy`` is called when a policy is published; ``CompiledPolicy`` evaluates one for a
tenant.  docs/POLICIES.md tells operators the inputs, the output and the bounds.

See also: :mod:`martenrun.sharing.policy_weights`, which evaluates policies tick by tick.
"""

import math
import re
import time
from dataclasses import dataclass, fields

from martenrun.errors import InvalidObjectError
from martenrun.sharing.cel_module import load_cel

_cel = load_cel()

MAXIMUM_EXPRESSION_BYTES = 4_096
MAXIMUM_TOKENS = 256
"""Names, numbers, strings and operators in an expression; bounds its cost, as it has no loops."""

MAXIMUM_NESTING = 16
"""Deepest nesting of brackets."""

MAXIMUM_EVALUATION_S = 0.002
"""Longest evaluation accepted at publish, in seconds; ordinary ones take about 10 us."""

MAXIMUM_WEIGHT = 1e6

ALLOWED_CALLS = frozenset({"double", "int", "size", "startsWith", "endsWith", "contains"})
"""Functions a policy may call; macros that loop (map, filter, all, exists) are not among them."""

_STRINGS = re.compile(r"""'[^'\n]*'|"[^"\n]*\"""")
_COMMENTS = re.compile(r"//[^\n]*")
_CALLS = re.compile(r"([A-Za-z_]\w*)\s*\(")
_TOKENS = re.compile(r"[A-Za-z_]\w*|[0-9][\w.]*|[^\s\w]")
_TIMED_RUNS = 3


@dataclass(frozen=True, slots=True)
class PolicyInputs:
    """What a policy may read about a tenant and its pool.

    Attributes:
        tenant: the tenant's name.
        weight: weight in the tenant's object.
        usage_10s: tokens per second over about the last 10 s, on all nodes.
        usage_5m: tokens per second over about the last 5 minutes, on all nodes.
        usage_share: the tenant's part of all tenants' ``usage_10s``, 0 to 1.
        queue_length: requests of the tenant that wait at this node.
        active_streams: requests of the tenant in progress at this node.
        pool_utilisation: used slots of the pool's runners that the node owns, 0 to 1.
    """

    tenant: str = ""
    weight: float = 1.0
    usage_10s: float = 0.0
    usage_5m: float = 0.0
    usage_share: float = 0.0
    queue_length: float = 0.0
    active_streams: float = 0.0
    pool_utilisation: float = 0.0


INPUT_NAMES = frozenset(field.name for field in fields(PolicyInputs))

SAMPLES = (
    PolicyInputs(tenant="a"),
    PolicyInputs("sample", 1.0, 500.0, 400.0, 0.2, 3.0, 5.0, 0.7),
    PolicyInputs("sample", 2.5, 0.0, 900.0, 0.0, 0.0, 0.0, 1.0),
    PolicyInputs("sample", 1e-3, 7e6, 7e6, 1.0, 1e6, 1e6, 1.0),
    PolicyInputs("x" * 63, 1_000.0, 1e-9, 0.0, 1e-12, 1.0, 0.0, 0.0),
)
"""Inputs a policy is tried with at publish: ordinary, idle, and the largest."""


class PolicyEvaluationError(Exception):
    """A policy gave no usable weight; the message says why."""


class CompiledPolicy:
    """A checked policy ready to be evaluated; raises InvalidObjectError if it is none."""

    def __init__(self, expression: str) -> None:
        _check_text(expression)
        try:
            self._program = _cel.compile(expression)
        except ValueError as error:
            raise InvalidObjectError(
                f"the policy does not parse: {_first_line(error)}",
                remedy="Correct the CEL expression; docs/POLICIES.md has examples.",
            ) from error
        self._inputs = self._program.variables()
        unknown = sorted(set(self._inputs) - INPUT_NAMES)
        if unknown:
            raise InvalidObjectError(
                f"the policy reads unknown inputs: {', '.join(unknown)}",
                remedy=f"Use only these inputs: {', '.join(sorted(INPUT_NAMES))}.",
            )
        self.expression = expression

    def weight(self, inputs: PolicyInputs) -> float:
        """Return the tenant's weight; raises PolicyEvaluationError."""
        try:
            result = self._program.execute({name: getattr(inputs, name) for name in self._inputs})
        except Exception as error:
            raise PolicyEvaluationError(_first_line(error)) from error
        if isinstance(result, bool) or not isinstance(result, int | float):
            raise PolicyEvaluationError(f"it gave a {type(result).__name__}, not a number")
        if not math.isfinite(result) or not 0 <= result <= MAXIMUM_WEIGHT:
            raise PolicyEvaluationError(f"it gave {result}, not within 0 to {MAXIMUM_WEIGHT:.0f}")
        return float(result)


def check_policy(expression: str) -> None:
    """Compile a policy and try it with every sample; raises InvalidObjectError.

    Called at publish only: whether an evaluation is quick enough depends on the machine, so a
    node that receives an accepted policy does not judge it again.
    """
    policy = CompiledPolicy(expression)
    for sample in SAMPLES:
        try:
            quickest_s = min(_timed(policy, sample) for _ in range(_TIMED_RUNS))
        except PolicyEvaluationError as error:
            raise InvalidObjectError(
                f"the policy fails for {sample}: {error}",
                remedy="Return a number from 0 up for every input; guard divisors against zero, "
                "as in 'usage_10s > 0.0 ? weight / usage_10s : weight', and write decimals "
                "as 1.0 because CEL does not mix integers and decimals.",
            ) from error
        if quickest_s > MAXIMUM_EVALUATION_S:
            raise InvalidObjectError(
                f"one evaluation takes {quickest_s * 1_000:.1f} ms",
                remedy=f"Simplify it to below {MAXIMUM_EVALUATION_S * 1_000:.0f} ms.",
            )


def _timed(policy: CompiledPolicy, sample: PolicyInputs) -> float:
    started = time.perf_counter()
    policy.weight(sample)
    return time.perf_counter() - started


def _check_text(expression: str) -> None:
    """Bound the size and cost of an expression before the library sees it."""
    if len(expression.encode()) > MAXIMUM_EXPRESSION_BYTES:
        raise _too_large(f"it is over {MAXIMUM_EXPRESSION_BYTES} bytes")
    if "\\" in expression or "'''" in expression or '"""' in expression:
        raise InvalidObjectError(
            "the policy has an escape or a triple-quoted string",
            remedy="Use plain strings in single or double quotes.",
        )
    text = _COMMENTS.sub(" ", _STRINGS.sub("s", expression))
    if len(_TOKENS.findall(text)) > MAXIMUM_TOKENS:
        raise _too_large(f"it has over {MAXIMUM_TOKENS} names, numbers and operators")
    if _nesting(text) > MAXIMUM_NESTING:
        raise _too_large(f"brackets are nested over {MAXIMUM_NESTING} deep")
    refused = sorted(set(_CALLS.findall(text)) - ALLOWED_CALLS - {"in"})
    if refused:
        raise InvalidObjectError(
            f"the policy calls {', '.join(refused)}",
            remedy=f"Only these functions may be called: {', '.join(sorted(ALLOWED_CALLS))}.",
        )


def _nesting(text: str) -> int:
    depth = deepest = 0
    for character in text:
        if character in "([{":
            depth += 1
            deepest = max(deepest, depth)
        elif character in ")]}":
            depth -= 1
    return deepest


def _too_large(reason: str) -> InvalidObjectError:
    return InvalidObjectError(
        f"the policy is too large: {reason}",
        remedy="Shorten it; put constant differences between tenants into their weights.",
    )


def _first_line(error: Exception) -> str:
    return (str(error).splitlines() or [type(error).__name__])[0]
