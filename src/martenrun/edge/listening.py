"""Closing a listening socket without resetting a connection that has just come about.

The kernel completes connections by itself; one that completes between the last accept and
the close is reset, and its caller cannot tell whether its request was run.  A socket filter
that drops only the packets that begin a connection ends the supply first.  A caller's kernel
sends such a packet again a second later, and is then refused, which is certain.
"""

import ctypes
import socket
import struct

from absl import logging

_SO_ATTACH_FILTER = 26
"""Linux's option; Python has no name for it."""

_LOAD_FLAGS = (0x30, 0, 0, 13)
_JUMP_UNLESS_SYN = (0x45, 0, 1, 0x02)
_DROP = (0x06, 0, 0, 0)
_PASS = (0x06, 0, 0, 0xFFFFFFFF)
_PROGRAM = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (_LOAD_FLAGS, _JUMP_UNLESS_SYN, _DROP, _PASS)
)
"""Classic BPF over the TCP header: drop the packet if its SYN flag is set."""

_INSTRUCTIONS = 4


def stop_new_connections(listener: socket.socket) -> None:
    """Let no further connection begin; those under way complete and wait to be accepted.

    Where the system has no such filter, a few connections may be reset at the close.
    """
    program = ctypes.create_string_buffer(_PROGRAM)
    option = struct.pack("HL", _INSTRUCTIONS, ctypes.addressof(program))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, option)
    except OSError as error:
        logging.warning("new connections cannot be stopped before the close: %s", error)
