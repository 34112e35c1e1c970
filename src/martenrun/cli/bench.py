"""Commands that measure; each benchmark is a module of :mod:`martenrun.bench`.

A benchmark module offers a click command; it is added to the group by one line here.
"""

import click

from martenrun.bench.adapter import adapter
from martenrun.bench.configuration import configuration
from martenrun.bench.decision import decision_command
from martenrun.bench.index import index_command
from martenrun.bench.membership import membership
from martenrun.bench.ownership import ownership
from martenrun.bench.path import path
from martenrun.bench.rolls import rolls
from martenrun.bench.routing import routing_command
from martenrun.bench.scale.command import scale
from martenrun.bench.scale.host import hollow_host
from martenrun.bench.sharing import sharing
from martenrun.bench.streams import streams
from martenrun.bench.usage_exchange import usage_exchange


@click.group()
def bench() -> None:
    """Measure a part of the product; results are printed as JSON with --json."""


bench.add_command(path)
bench.add_command(streams)
bench.add_command(index_command)
bench.add_command(configuration)
bench.add_command(sharing)
bench.add_command(decision_command)
bench.add_command(routing_command)
bench.add_command(adapter)
bench.add_command(rolls)
bench.add_command(usage_exchange)
bench.add_command(scale)
bench.add_command(hollow_host)
bench.add_command(membership)
bench.add_command(ownership)
bench.add_command(membership)
