"""Two nodes and the machines of one pool, for tests of slot ownership."""

from martenrun.backends.machine_list import Machine
from martenrun.membership.view import Member

OWN = Member("10.0.0.1:7000", "a")
OTHER = Member("10.0.0.2:7000", "a")


def machine(name, state="live", zone="a"):
    return Machine(name, "engine", "10.1.0.1:80", zone, "pool", state)
