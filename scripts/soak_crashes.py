"""How runners of a soak crash on parts of prompts."""

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.platform.standins.runner_records import CrashPoint

CRASH_WAYS = (
    (CrashPoint.BEFORE_HEAD, True),
    (CrashPoint.AFTER_HEAD, False),
    (CrashPoint.AFTER_EVENT, False),
    (CrashPoint.AFTER_EVENT, True),
)
"""How runners crash on a part of a prompt: at which point, and whether connections are reset."""


def ends_by_connection(request_id: str) -> bool:
    """Whether the response to a request ends with its connection: deadly ones and some others."""
    return request_id[-2:] in ("0n", "5n") or request_id.endswith("d")


def set_deadly_parts(
    runner: RunnerStandin, parts: frozenset[str], way: tuple[CrashPoint, bool]
) -> None:
    """Let a runner crash on parts of prompts, in one of CRASH_WAYS."""
    runner.crashing_parts = parts
    runner.crash_point, runner.crashes_by_reset = way
    if parts and not runner.crashes_by_reset:
        runner.ends_by_connection = ends_by_connection
