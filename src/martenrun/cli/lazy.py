"""A group of commands whose modules are imported only when a command is run.

A node that starts again must answer within a second; it must not import the benchmarks, the
proofs and the stand-ins first.

See also: :mod:`martenrun.cli.main`, :mod:`martenrun.cli.bench`.
"""

import importlib
from collections.abc import Mapping
from typing import Any

import click


class LazyGroup(click.Group):
    """A click group that imports a command when it is looked up.

    Args:
        lazy_commands: place of each command by its name, as ``package.module:attribute``.
    """

    def __init__(self, *args: Any, lazy_commands: Mapping[str, str], **options: Any) -> None:
        super().__init__(*args, **options)
        self._lazy_commands = lazy_commands

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands; imports none."""
        return sorted({*super().list_commands(ctx), *self._lazy_commands})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command, None if there is none of this name."""
        place = self._lazy_commands.get(cmd_name)
        if place is None:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = place.partition(":")
        command: click.Command = getattr(importlib.import_module(module), attribute)
        return command
