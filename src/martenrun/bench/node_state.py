"""Measures the memory that a node's decision logic takes for the machines it knows.

See also: docs/CAPACITY.md.
"""

import gc
import random
import tracemalloc

import click
import msgspec

from martenrun.bench.scale.cluster import SECRET, UNUSED_ADDRESS
from martenrun.bench.scale.platform import make_runners, region_name, zone_name
from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.events import Event, MachinesListed, PeerMessage, Tick
from martenrun.identity.chain import as_array
from martenrun.node.parts import NodeParts, node_parts
from martenrun.platform.machine_list import Machine, decoded_machines
from martenrun.routing.beliefs import BeliefBook
from martenrun.settings.model import NodeSettings
from martenrun.wire.messages import MemberClaim, MemberList

SETTLING_TICKS = 40
TICK_S = 0.1
POOL_RUNNERS = 64
SENT_CHAINS = 20_000
CHAIN_BYTES = 10 * BLOCK_HASH_BYTES
"""Hashes of a prompt of 40,000 bytes."""


class NodeStateResult(msgspec.Struct, frozen=True):
    """Memory of one node's beliefs, in bytes.

    Attributes:
        bytes_per_member: for each other node.
        bytes_per_runner: for each runner on the machine list, with the list itself and the
            slots of the runners that the node owns.
        routed_bytes: of what is believed of chains sent, when as much is kept as may be.
    """

    nodes: int
    runners: int
    own_runners: int
    bytes_per_member: float
    bytes_per_runner: float
    routed_bytes: int


def run(nodes: int, runners: int) -> NodeStateResult:
    """Let one node learn of members, then of runners."""
    parts = _node()
    now = _tick(parts, 0.0)
    tracemalloc.start()
    begin_bytes = _allocated_bytes()
    claims = [
        MemberClaim(node_address(index), zone_name(index), region_name(index), 0, 0)
        for index in range(1, nodes)
    ]
    _tell(parts, PeerMessage(node_address(1), MemberList(False, claims)), now)
    del claims
    now = _tick(parts, now)
    members_bytes = _allocated_bytes()
    _tell(parts, MachinesListed(list_of_machines(runners)), now)
    now = _tick(parts, now)
    runners_bytes = _allocated_bytes()
    tracemalloc.stop()
    return NodeStateResult(
        nodes,
        runners,
        len(parts.ownership.owner.owned),
        round((members_bytes - begin_bytes) / max(1, nodes - 1), 1),
        round((runners_bytes - members_bytes) / runners, 1),
        _routed_bytes(),
    )


def _routed_bytes() -> int:
    """Send chains to runners whose events are read and to others until the oldest are forgotten."""
    rng = random.Random(1)
    book = BeliefBook()
    for index in range(POOL_RUNNERS):
        book.identify(f"runner-{index}", "run", "v1")
    # The index of blocks is a line of its own: it is there before the chains.
    book.feed("runner-0", as_array(rng.randbytes(CHAIN_BYTES)), as_array(b""))
    tracemalloc.start()
    begin_bytes = _allocated_bytes()
    for number in range(SENT_CHAINS):
        runner = f"runner-{0 if number % 2 else 1 + number % (POOL_RUNNERS - 1)}"
        book.routed(runner, rng.randbytes(CHAIN_BYTES), 0, float(number))
    routed_bytes = _allocated_bytes() - begin_bytes
    tracemalloc.stop()
    return routed_bytes


def _node() -> NodeParts:
    settings = NodeSettings(
        name="node-0",
        zone=zone_name(0),
        region=region_name(0),
        cluster_secret=SECRET,
        http_address=UNUSED_ADDRESS,
        seed_nodes=[node_address(1)],
        peer_address=node_address(0),
        object_api=UNUSED_ADDRESS,
        machine_list=UNUSED_ADDRESS,
    )
    return node_parts(settings, "state", random.Random(1))


def node_address(index: int) -> str:
    """Return the internal address of the node of an index."""
    return f"10.0.{index // 250}.{index % 250}:7000"


def list_of_machines(runners: int, nodes: int = 0) -> list[Machine]:
    """Return a list as it comes from the network: no text is that of another list."""
    machines = [runner.machine for runner in make_runners(runners).values()]
    for index in range(nodes):
        machines.append(Machine(f"node-{index}", "node", node_address(index), zone_name(index)))
    return decoded_machines(msgspec.json.encode(machines), {})


def _tell(parts: NodeParts, event: Event, now: float) -> None:
    for part in parts.in_order():
        part.handle(event, now)


def _tick(parts: NodeParts, now: float) -> float:
    for _ in range(SETTLING_TICKS):
        now += TICK_S
        _tell(parts, Tick(), now)
    return now


def _allocated_bytes() -> int:
    gc.collect()
    current, _peak = tracemalloc.get_traced_memory()
    return current


@click.command("node-state")
@click.option("--nodes", default=370, show_default=True, type=click.IntRange(2, 10_000))
@click.option("--runners", default=12_000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def node_state(nodes: int, runners: int, as_json: bool) -> None:
    """Measure the memory a node takes for members and runners."""
    encoded = msgspec.json.encode(run(nodes, runners))
    click.echo((encoded if as_json else msgspec.json.format(encoded)).decode())
