"""Commands that measure; each benchmark is a module of :mod:`martenrun.bench`.

A benchmark module offers a click command; it is added to the group by one line here.
"""

import click

from martenrun.cli.lazy import LazyGroup

_COMMANDS = {
    "path": "martenrun.bench.path:path",
    "streams": "martenrun.bench.streams:streams",
    "control": "martenrun.bench.control:control",
    "index": "martenrun.bench.index:index_command",
    "configuration": "martenrun.bench.configuration:configuration",
    "sharing": "martenrun.bench.sharing:sharing",
    "decision": "martenrun.bench.decision:decision_command",
    "request": "martenrun.bench.request_cost:request_command",
    "routing": "martenrun.bench.routing:routing_command",
    "adapter": "martenrun.bench.adapter:adapter",
    "rolls": "martenrun.bench.rolls:rolls",
    "usage-exchange": "martenrun.bench.usage_exchange:usage_exchange",
    "scale": "martenrun.bench.scale.command:scale",
    "scaling": "martenrun.bench.scaling:scaling",
    "feeds": "martenrun.bench.feeds:feeds",
    "feed-engines": "martenrun.bench.feed_engines:feed_engines",
    "hollow-host": "martenrun.bench.scale.host:hollow_host",
    "membership": "martenrun.bench.membership:membership",
    "ownership": "martenrun.bench.ownership:ownership",
    "machine-list": "martenrun.bench.machine_list:machine_list",
    "node-state": "martenrun.bench.node_state:node_state",
}


@click.group(cls=LazyGroup, lazy_commands=_COMMANDS)
def bench() -> None:
    """Measure a part of the product; results are printed as JSON with --json."""
