"""Identifies repeated requests: equal in caller, method, target and body.

The digest of a body is computed only if a request with the same prefix has a crash record or was
served by a crashed runner.  Without crash records requests cost nothing.
"""

import hashlib
import zlib

from martenrun.net.http import HttpRequest
from martenrun.router.messages import AdmittedRequest

PREFIX_BYTES = 8
"""Length of the prefix: checksums of the caller and of the request's head, 4 bytes each."""

CALLER_BYTES = 4

DIGEST_BYTES = 16
"""Length of the digest: 128 bits make collisions negligible."""


def fingerprint_prefix(request: HttpRequest, admitted: AdmittedRequest) -> bytes:
    """Return the prefix of a request's fingerprint, which does not depend on the body's content."""
    tenant = admitted.tenant
    caller = b"" if tenant is None else tenant.name.encode()
    tag = zlib.crc32(caller)
    head = b"%b %b %b %d" % (
        request.method,
        admitted.call.host.encode("latin-1"),
        request.target,
        len(request.body),
    )
    return tag.to_bytes(CALLER_BYTES) + zlib.crc32(head, tag).to_bytes(PREFIX_BYTES - CALLER_BYTES)


def request_fingerprint(request: HttpRequest, admitted: AdmittedRequest) -> bytes:
    """Return the fingerprint of a request, which is equal for repetitions of the same request."""
    prefix = fingerprint_prefix(request, admitted)
    digest = hashlib.blake2b(prefix, digest_size=DIGEST_BYTES)
    digest.update(b"%b %b\0" % (request.method, request.target))
    digest.update(request.body)
    return prefix + digest.digest()
