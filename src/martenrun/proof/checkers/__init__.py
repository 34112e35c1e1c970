"""One checker per promise, by the promise's name.

See also: docs/PROOFS.md, which has a row for each.
"""

from collections.abc import Mapping
from types import MappingProxyType

from martenrun.proof.checkers.at_most_once import check_at_most_once
from martenrun.proof.checkers.cache_use import check_cache_use
from martenrun.proof.checkers.configuration import check_configuration
from martenrun.proof.checkers.leaving import check_leaving
from martenrun.proof.checkers.not_run import check_not_run
from martenrun.proof.checkers.own_answer import check_own_answer
from martenrun.proof.checkers.planned_stop import check_planned_stop
from martenrun.proof.checkers.restart import check_restart
from martenrun.proof.checkers.streams import check_streams
from martenrun.proof.checkers.violation import Checker, Violation
from martenrun.proof.checkers.weights import check_weights
from martenrun.proof.history import History

CHECKERS: Mapping[str, Checker] = MappingProxyType(
    {
        "cache_use": check_cache_use,
        "streams": check_streams,
        "restart": check_restart,
        "own_answer": check_own_answer,
        "not_run": check_not_run,
        "at_most_once": check_at_most_once,
        "leaving": check_leaving,
        "planned_stop": check_planned_stop,
        "configuration": check_configuration,
        "weights": check_weights,
    }
)


def check_all(history: History) -> list[Violation]:
    """Return the violations of every promise."""
    return [violation for checker in CHECKERS.values() for violation in checker(history)]
