"""Errors of control calls, and the limit on the size of a configuration document."""

from msgspec import Struct

# A larger document would take more memory than a daemon has while it is ordered and sent to all of them.
MAX_DOCUMENT_BYTES = 8 << 20


class VersionConflict(Struct, frozen=True, tag="RoutingMoved"):
    """The change is based on a version that is not the current one."""

    version: int


class DocumentTooLarge(Struct, frozen=True, tag="DocumentTooLarge"):
    """The document, or the one that a change would result in, has more than `max_bytes`."""

    bytes: int
    max_bytes: int = MAX_DOCUMENT_BYTES


class ErrorResponse(Struct, frozen=True):
    """HTTP status and error body of a call that failed."""

    status: int
    error: object
