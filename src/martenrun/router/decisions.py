"""Tuning parameters of the router's policies, each with its unit and the reason for its value.

They are loaded once at startup into one object, from which each policy takes its own group.
Operators and experiments override parameters in a file (:func:`load_tuning`), so that an experiment
differs by a value and not by a patch.
"""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from martenrun.errors import SettingsError


def figure(
    default: float, unit: str, origin: str, least: float = 0.0, most: float = math.inf
) -> Any:
    """Return an attribute that holds a tuning parameter.

    Args:
        default: its value unless overridden.
        unit: its unit.
        origin: the reason for its default.
        least, most: bounds of overrides.
    """
    return attrs.field(
        default=default,
        converter=type(default),
        validator=[attrs.validators.ge(least), attrs.validators.le(most)],
        metadata={"unit": unit, "origin": origin},
    )


@attrs.frozen
class PlacementFigures:
    """Costs of placing a prompt on a runner in addition to its backlog."""

    fetched_share: float = figure(
        0.35,
        "of a prefilled token",
        "a fetch costs a runner less than prefill, but waits for other fetches on its link",
        most=1.0,
    )
    other_zone_tokens: float = figure(60, "tokens", "a few milliseconds of prefill")
    request_tokens: float = figure(40, "tokens", "each request on a runner shares its steps")
    failure_tokens: float = figure(2_000, "tokens", "a failed attempt costs about one prefill")
    usable_memory: float = figure(
        0.85, "of a runner's memory", "above it requests are preempted", most=1.0
    )
    crowding_factor: float = figure(
        2.0, "tokens per token without room", "preempted requests are prefilled again"
    )
    old_weights_tokens: float = figure(2_000, "tokens", "responses of old weights are worth less")
    save_again_s: float = figure(
        5.0, "seconds", "stores evict entries; each save uses part of the runner's link"
    )
    other_zone_load: float = figure(0.5, "requests", "used for requests without a prompt")


@attrs.frozen
class OverloadFigures:
    """Limits of the wait and the fairness of load shedding."""

    urgent_share: float = figure(
        1.0,
        "of the route's objective",
        "after a longer wait the first event misses the objective in any case",
    )
    others_share: float = figure(0.4, "of the route's objective", "leaves room for urgent prompts")
    behind_wait_share: float = figure(1.25, "of the route's objective", "prevents starvation")
    behind_share: float = figure(
        0.4, "of the average share", "the guaranteed minimum is a quarter", most=1.0
    )
    fading_s: float = figure(4.0, "seconds", "about the length of a burst of loads", least=0.1)
    least_asked: float = figure(3.0, "requests", "fewer requests give no reliable share")


@attrs.frozen
class RollFigures:
    """Pace of a rollout of new weights."""

    parallel_share: float = figure(
        0.2, "of a model's runners, rounded down", "the other runners serve meanwhile", most=1.0
    )
    runs_end_s: float = figure(2.6, "seconds", "usual maximum time until running requests finish")
    first_turn_s: float = figure(
        2.0, "seconds", "time for requests to finish and weights to load, until loads are measured"
    )
    turn_weight: float = figure(
        0.3, "of the latest load", "the moving average adapts within a few loads", most=1.0
    )
    hurry_factor: float = figure(
        1.1, "times the time needed", "leaves time to retry failed loads", least=1.0
    )


@attrs.frozen
class ForwardingFigures:
    """Wait of a request for a runner, and retry delay of a refused one."""

    waiting_share: float = figure(
        0.2, "of the route's objective", "refusals within a quarter of it are in time", most=1.0
    )
    retry_after_s: float = figure(0.25, "seconds", "shortest delay that a refused caller is given")


@attrs.frozen
class Decisions:
    """The tuning parameters of all policies."""

    placement: PlacementFigures = attrs.field(factory=PlacementFigures)
    overload: OverloadFigures = attrs.field(factory=OverloadFigures)
    roll: RollFigures = attrs.field(factory=RollFigures)
    forwarding: ForwardingFigures = attrs.field(factory=ForwardingFigures)


DEFAULTS = Decisions()
"""The parameters without overrides."""


def read_decisions(table: Mapping[str, Any]) -> Decisions:
    """Return the parameters with the overrides of a table; raise SettingsError with all errors."""
    faults: list[str] = []
    groups = {}
    for group in attrs.fields(Decisions):
        groups[group.name] = _read_group(group.name, group.type, table.get(group.name, {}), faults)
    faults += [f"{name}: unknown group of parameters" for name in table if name not in groups]
    if faults:
        raise SettingsError("; ".join(faults), remedy="Correct these tuning parameters.")
    return Decisions(**groups)


def _read_group(name: str, kind: Any, table: Any, faults: list[str]) -> Any:
    if not isinstance(table, Mapping):
        faults.append(f"{name}: is not a table of parameters")
        return kind()
    known = {field.name for field in attrs.fields(kind)}
    made = kind()
    for key, value in table.items():
        if key not in known:
            faults.append(f"{name}.{key}: unknown parameter")
        elif isinstance(value, bool) or not isinstance(value, int | float):
            faults.append(f"{name}.{key}: {value!r} is not a number")
        else:
            try:
                made = attrs.evolve(made, **{key: value})
            except ValueError as exc:
                faults.append(f"{name}.{key}: {exc}")
    return made


def load_decisions(path: Path) -> Decisions:
    """Read a file of overrides; return the defaults if it is missing; may raise SettingsError."""
    if not path.exists():
        return Decisions()
    try:
        with open(path, "rb") as file:
            return read_decisions(tomllib.load(file))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(
            f"cannot read the tuning parameters: {exc}", remedy=f"Correct or remove {path.name}."
        ) from exc
