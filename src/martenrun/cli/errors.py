"""Printing typed errors of operators' commands, and the commands' exit statuses."""

from collections.abc import Iterator
from contextlib import contextmanager

import click

from martenrun.errors import ChangeOutcomeUnknownError, MartenrunError, VersionConflictError

EXIT_REFUSED = 1
EXIT_CONFLICT = 3
EXIT_OUTCOME_UNKNOWN = 4


@contextmanager
def errors_printed() -> Iterator[None]:
    """Print a typed error with its remedy and exit with its status."""
    try:
        yield
    except MartenrunError as error:
        click.echo(f"{error.code}: {error.message}\n  remedy: {error.remedy}", err=True)
        if isinstance(error, VersionConflictError):
            click.echo(f"  present version: {error.present_version}", err=True)
            raise SystemExit(EXIT_CONFLICT) from None
        unknown = isinstance(error, ChangeOutcomeUnknownError)
        raise SystemExit(EXIT_OUTCOME_UNKNOWN if unknown else EXIT_REFUSED) from None
