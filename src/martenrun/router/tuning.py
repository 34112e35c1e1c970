"""Tuning parameters of the router's policies, each with its unit and the reason for its value.

They are loaded once at startup into one object, from which each policy takes its own group.
Operators and experiments override parameters in a file (:func:`load_tuning_parameters`), so that an
experiment differs by a value and not by a patch.
"""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from martenrun.errors import SettingsError


def parameter(
    default: float, unit: str, reason: str, minimum: float = 0.0, maximum: float = math.inf
) -> Any:
    """Return an attribute that holds a tuning parameter.

    Args:
        default: its value unless overridden.
        unit: its unit.
        reason: the reason for its default.
        minimum, maximum: bounds of overrides.
    """
    return attrs.field(
        default=default,
        converter=type(default),
        validator=[attrs.validators.ge(minimum), attrs.validators.le(maximum)],
        metadata={"unit": unit, "origin": reason},
    )


@attrs.frozen
class PlacementParameters:
    """Costs of placing a prompt on a runner in addition to its backlog."""

    fetched_share: float = parameter(
        0.35,
        "of a prefilled token",
        "a fetch costs a runner less than prefill, but waits for other fetches on its link",
        maximum=1.0,
    )
    other_zone_tokens: float = parameter(60, "tokens", "a few milliseconds of prefill")
    request_tokens: float = parameter(40, "tokens", "each request on a runner shares its steps")
    failure_tokens: float = parameter(2_000, "tokens", "a failed attempt costs about one prefill")
    usable_memory: float = parameter(
        0.85, "of a runner's memory", "above it requests are preempted", maximum=1.0
    )
    crowding_factor: float = parameter(
        2.0, "tokens per token without room", "preempted requests are prefilled again"
    )
    old_weights_tokens: float = parameter(
        2_000, "tokens", "responses of old weights are worth less"
    )
    save_again_s: float = parameter(
        5.0, "seconds", "stores evict entries; each save uses part of the runner's link"
    )
    other_zone_load: float = parameter(0.5, "requests", "used for requests without a prompt")


@attrs.frozen
class OverloadParameters:
    """Limits of the wait and the fairness of load shedding."""

    urgent_share: float = parameter(
        1.0,
        "of the route's objective",
        "after a longer wait the first event misses the objective in any case",
    )
    others_share: float = parameter(
        0.4, "of the route's objective", "leaves room for urgent prompts"
    )
    behind_wait_share: float = parameter(1.25, "of the route's objective", "prevents starvation")
    behind_share: float = parameter(
        0.4, "of the average share", "the guaranteed minimum is a quarter", maximum=1.0
    )
    fading_s: float = parameter(4.0, "seconds", "about the length of a burst of loads", minimum=0.1)
    least_asked: float = parameter(3.0, "requests", "fewer requests give no reliable share")


@attrs.frozen
class RolloutParameters:
    """Pace of a rollout of new weights."""

    parallel_share: float = parameter(
        0.2, "of a model's runners, rounded down", "the other runners serve meanwhile", maximum=1.0
    )
    runs_end_s: float = parameter(
        2.6, "seconds", "usual maximum time until running requests finish"
    )
    first_turn_s: float = parameter(
        2.0, "seconds", "time for requests to finish and weights to load, until loads are measured"
    )
    turn_weight: float = parameter(
        0.3, "of the latest load", "the moving average adapts within a few loads", maximum=1.0
    )
    hurry_factor: float = parameter(
        1.1, "times the time needed", "leaves time to retry failed loads", minimum=1.0
    )


@attrs.frozen
class ForwardingParameters:
    """Wait of a request for a runner, and retry delay of a refused one."""

    waiting_share: float = parameter(
        0.2, "of the route's objective", "refusals within a quarter of it are in time", maximum=1.0
    )
    retry_after_s: float = parameter(
        0.25, "seconds", "shortest delay that a refused caller is given"
    )


@attrs.frozen
class TuningParameters:
    """The tuning parameters of all policies."""

    placement: PlacementParameters = attrs.field(factory=PlacementParameters)
    overload: OverloadParameters = attrs.field(factory=OverloadParameters)
    roll: RolloutParameters = attrs.field(factory=RolloutParameters)
    forwarding: ForwardingParameters = attrs.field(factory=ForwardingParameters)


DEFAULTS = TuningParameters()
"""The parameters without overrides."""


def read_tuning_parameters(table: Mapping[str, Any]) -> TuningParameters:
    """Return the parameters with the overrides of a table; raise SettingsError with all errors."""
    errors: list[str] = []
    groups = {}
    for group in attrs.fields(TuningParameters):
        groups[group.name] = _read_group(group.name, group.type, table.get(group.name, {}), errors)
    errors += [f"{name}: unknown group of parameters" for name in table if name not in groups]
    if errors:
        raise SettingsError("; ".join(errors), remedy="Correct these tuning parameters.")
    return TuningParameters(**groups)


def _read_group(name: str, group_class: Any, table: Any, errors: list[str]) -> Any:
    if not isinstance(table, Mapping):
        errors.append(f"{name}: is not a table of parameters")
        return group_class()
    known = {field.name for field in attrs.fields(group_class)}
    parameters = group_class()
    for key, value in table.items():
        if key not in known:
            errors.append(f"{name}.{key}: unknown parameter")
        elif isinstance(value, bool) or not isinstance(value, int | float):
            errors.append(f"{name}.{key}: {value!r} is not a number")
        else:
            try:
                parameters = attrs.evolve(parameters, **{key: value})
            except ValueError as exc:
                errors.append(f"{name}.{key}: {exc}")
    return parameters


def load_tuning_parameters(path: Path) -> TuningParameters:
    """Read a file of overrides; return the defaults if it is missing; may raise SettingsError."""
    if not path.exists():
        return TuningParameters()
    try:
        with open(path, "rb") as file:
            return read_tuning_parameters(tomllib.load(file))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(
            f"cannot read the tuning parameters: {exc}", remedy=f"Correct or remove {path.name}."
        ) from exc
