"""Reading settings: a TOML file, overridden by flags; every fault is reported at once."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

import msgspec

from martenrun.errors import SettingsError
from martenrun.schema import Fault, FaultKind, description_of, faults_of, field_owner
from martenrun.settings.model import AgentSettings, NodeSettings, ProcessSettings

Settings = TypeVar("Settings", bound=ProcessSettings)

_MODELS: dict[str, type[ProcessSettings]] = {"node": NodeSettings, "agent": AgentSettings}


def read_settings(
    model: type[Settings], path: Path | None, overrides: Mapping[str, object]
) -> Settings:
    """Read settings of one kind.

    Args:
        model: the settings class.
        path: settings file with a ``[node]`` or ``[agent]`` table, or None.
        overrides: values given as flags; None means not given.

    Raises:
        ExceptionGroup: of SettingsError, one for each fault.
    """
    values: dict[str, object] = {}
    if path is not None:
        table = next(kind for kind, cls in _MODELS.items() if cls is model)
        values.update(_read_table(path, table))
    values.update({key: value for key, value in overrides.items() if value not in (None, ())})
    return _validated(model, values)


def check_file(path: Path) -> None:
    """Check every table of a settings file; raises an ExceptionGroup of SettingsError."""
    faults: list[SettingsError] = []
    document = _read_document(path)
    if not document:
        faults.append(SettingsError("the file is empty", remedy="add a [node] or [agent] table"))
    for table, values in document.items():
        model = _MODELS.get(table)
        if model is None:
            known = ", ".join(sorted(_MODELS))
            faults.append(SettingsError(f"unknown table [{table}]", remedy=f"use one of: {known}"))
            continue
        if not isinstance(values, dict):
            faults.append(_no_table(path, table))
            continue
        try:
            _validated(model, values)
        except ExceptionGroup as group:
            faults.extend(error for error in group.exceptions if isinstance(error, SettingsError))
    if faults:
        raise ExceptionGroup(f"{path} has {len(faults)} faults", faults)


def _read_document(path: Path) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        fault = SettingsError(f"cannot read {path}: {error}", remedy="write it as a TOML file")
        raise ExceptionGroup(f"{path} has 1 fault", [fault]) from error


def _read_table(path: Path, table: str) -> dict[str, object]:
    values = _read_document(path).get(table)
    if not isinstance(values, dict):
        raise ExceptionGroup(f"{path} has 1 fault", [_no_table(path, table)])
    return values


def _no_table(path: Path, table: str) -> SettingsError:
    return SettingsError(f"{path} has no [{table}] table", remedy=f"add a [{table}] table")


def _validated(model: type[Settings], values: Mapping[str, object]) -> Settings:
    try:
        return msgspec.convert(dict(values), model)
    except msgspec.ValidationError as error:
        faults = [
            SettingsError(f"{fault.field}: {fault.message}", remedy=_remedy(model, fault))
            for fault in faults_of(model, values)
        ]
        raise ExceptionGroup(f"settings have {len(faults)} faults", faults) from error


def _remedy(model: type[ProcessSettings], fault: Fault) -> str:
    record, field = field_owner(model, fault.field)
    if fault.kind is FaultKind.UNKNOWN:
        return f"remove it; known keys are {', '.join(sorted(record.__struct_fields__))}"
    verb = "add it" if fault.kind is FaultKind.MISSING else "correct it"
    return f"{verb}: {description_of(record, field) or 'see docs/OPERATIONS.md'}"
