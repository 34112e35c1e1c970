"""Which requests are the same one that comes again: alike in caller, method, target and body.

The digest of a body is made only where something of the same outline is suspected, or has ended a
runner: with nothing suspected a request costs nothing.
"""

import hashlib
import zlib

from martenrun.net.http import HttpRequest
from martenrun.router.messages import AdmittedRequest

OUTLINE_BYTES = 8
"""The caller's tag (4 bytes) and the outline (4 bytes) that a fingerprint begins with."""

CALLER_BYTES = 4

DIGEST_BYTES = 16
"""Bytes of the digest: 128 bits, so that no two bodies share one by chance."""


def outline(request: HttpRequest, admitted: AdmittedRequest) -> bytes:
    """Return what a fingerprint begins with, without a look at the body's bytes."""
    tenant = admitted.tenant
    caller = b"" if tenant is None else tenant.name.encode()
    tag = zlib.crc32(caller)
    head = b"%b %b %b %d" % (
        request.method,
        admitted.call.host.encode("latin-1"),
        request.target,
        len(request.body),
    )
    return tag.to_bytes(CALLER_BYTES) + zlib.crc32(head, tag).to_bytes(OUTLINE_BYTES - CALLER_BYTES)


def fingerprint(request: HttpRequest, admitted: AdmittedRequest) -> bytes:
    """Return what is alike for all comings of one request, and for no other."""
    start = outline(request, admitted)
    digest = hashlib.blake2b(start, digest_size=DIGEST_BYTES)
    digest.update(b"%b %b\0" % (request.method, request.target))
    digest.update(request.body)
    return start + digest.digest()
