"""Entry point of the ``martenrun`` command."""

import click

from martenrun.cli.admin import admin
from martenrun.cli.bench import bench
from martenrun.cli.capacity import capacity
from martenrun.cli.processes import agent, check_settings, node
from martenrun.cli.prove import prove
from martenrun.cli.standin import standin


@click.group()
@click.version_option(package_name="martenrun")
def main() -> None:
    """A router for language-model traffic with long shared prompts."""


main.add_command(node)
main.add_command(agent)
main.add_command(check_settings)
main.add_command(admin)
main.add_command(standin)
main.add_command(bench)
main.add_command(capacity)
main.add_command(prove)
