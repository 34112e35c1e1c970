"""No request relies on cache entries of a dead engine, another tenant or other weights."""

from collections.abc import Sequence

from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import CacheOrigin, Executed, Granted, History

PROMISE = "cache_use"

_Held = dict[CacheOrigin, list[list[str]]]


def check_cache_use(history: History) -> list[Violation]:
    """Check engines' use of cached blocks and nodes' belief in them.

    A node may credit a grant only with blocks that the same incarnation was sent or held for
    the same tenant and weights version.
    """
    held: _Held = {}
    found: list[Violation] = []
    for record in history.records:
        detail = ""
        if isinstance(record, Executed):
            detail = _execution_fault(record)
            origin = CacheOrigin(record.tenant, record.weights_version, record.incarnation)
        elif isinstance(record, Granted):
            origin = CacheOrigin(record.tenant, record.chain_version, record.incarnation)
            detail = _grant_fault(record, held.get(origin, []))
        else:
            continue
        held.setdefault(origin, []).append(record.chain)
        if detail:
            found.append(Violation(PROMISE, record.request_id, record.time_s, detail))
    return found


def _execution_fault(run: Executed) -> str:
    if run.expected_incarnation not in ("", run.incarnation):
        return f"{run.engine} ran an attempt meant for incarnation {run.expected_incarnation}"
    own = CacheOrigin(run.tenant, run.weights_version, run.incarnation)
    foreign = [origin for origin in run.reused if origin != own]
    return f"{run.engine} used blocks of {foreign[0]}" if foreign else ""


def _grant_fault(grant: Granted, held: Sequence[list[str]]) -> str:
    if grant.believed_blocks and grant.weights_version != grant.chain_version:
        return f"blocks of {grant.chain_version} credited to {grant.weights_version}"
    possible = max((_common_blocks(chain, grant.chain) for chain in held), default=0)
    if grant.believed_blocks <= possible:
        return ""
    return f"{grant.believed_blocks} blocks credited to {grant.runner}, {possible} possible"


def _common_blocks(one: Sequence[str], other: Sequence[str]) -> int:
    count = 0
    for left, right in zip(one, other, strict=False):
        if left != right:
            break
        count += 1
    return count
