"""Faults of the stand-in engine, set by ``POST /faults``."""

import msgspec


class Faults(msgspec.Struct):
    """Faults in force; a request replaces all of them.

    Attributes:
        freeze: answer nothing and produce no token until it is lifted.
        delay_s: wait this long before each answer, in seconds.
        cut_after_tokens: break a stream's connection after so many of its tokens; below 0 never.
        cut_streams: how many streams to break; then ``cut_after_tokens`` has no effect.
        omit_terminator: end streams cleanly but without their terminator.
        replay_events: how many answers of the cache-event feed start from the beginning.
        crash: break every stream and come back empty, as another incarnation.
        draining: say ``draining`` in place of the true state.
        no_push_stream: answer 404 to the push stream, as engines of the older dialect do.
        silent_pushes: send nothing on push streams, held or new, but keep them open.
        push_delay_s: wait this long before each push, in seconds.
        lose_pushes: how many of the next pushes with cache events lose these.
        garble_pushes: how many of the next pushes are cut to half of their text.
    """

    freeze: bool = False
    delay_s: float = 0.0
    cut_after_tokens: int = -1
    cut_streams: int = 1_000_000
    omit_terminator: bool = False
    replay_events: int = 0
    crash: bool = False
    draining: bool = False
    no_push_stream: bool = False
    silent_pushes: bool = False
    push_delay_s: float = 0.0
    lose_pushes: int = 0
    garble_pushes: int = 0


class ConnectionCutError(Exception):
    """Makes the HTTP server break the connection."""
