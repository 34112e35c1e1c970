"""Entry point of the ``martenrun`` command."""

import click

from martenrun.cli.lazy import LazyGroup

_COMMANDS = {
    "node": "martenrun.cli.processes:node",
    "agent": "martenrun.cli.processes:agent",
    "check-settings": "martenrun.cli.processes:check_settings",
    "admin": "martenrun.cli.admin:admin",
    "ask": "martenrun.cli.ask:ask",
    "wait": "martenrun.cli.ask:wait",
    "blame": "martenrun.cli.blame:blame",
    "explain": "martenrun.cli.explain:explain",
    "hash-key": "martenrun.cli.ask:hash_key",
    "standin": "martenrun.cli.standin:standin",
    "bench": "martenrun.cli.bench:bench",
    "capacity": "martenrun.cli.capacity:capacity",
    "prove": "martenrun.cli.prove:prove",
    "quotas": "martenrun.cli.quotas:quotas",
}


@click.group(cls=LazyGroup, lazy_commands=_COMMANDS)
@click.version_option(package_name="martenrun")
def main() -> None:
    """A router for language-model traffic with long shared prompts."""
