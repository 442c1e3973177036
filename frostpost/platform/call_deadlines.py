"""Deadlines of control calls, within the time that a caller waits for a daemon."""

from msgspec import Struct

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.lease_client import holds_lease

# A caller tries another daemon after this time without a response; a large body extends it.
CALLER_TIMEOUT_MS, UPLOAD_BYTES_PER_MS = 1000, 1000
# Parts of the caller's timeout: for an operation, for an operation without a lease, and for the whole response.
OPERATION_RATIO, UNLEASED_OPERATION_RATIO, RESPONSE_RATIO = 0.5, 0.2, 0.8


class Deadlines(Struct):
    """Until when a call may wait for the result of its operation, and for its response."""

    operation_ms: int
    response_ms: int


def call_deadlines(agent, body_bytes=0, arrived_ms=None):
    """Return the Deadlines of a call that arrived at `arrived_ms`, by default now, and has been parsed.

    The caller waits from the arrival on. An operation has its time from now on, as parsing a large body may take longer
    than that.
    """
    current_ms = now_ms(agent)
    arrived_ms = current_ms if arrived_ms is None else arrived_ms
    ratio = OPERATION_RATIO if holds_lease(agent) else UNLEASED_OPERATION_RATIO
    response_ms = arrived_ms + int(CALLER_TIMEOUT_MS * RESPONSE_RATIO) + body_bytes // UPLOAD_BYTES_PER_MS
    return Deadlines(min(response_ms, current_ms + int(CALLER_TIMEOUT_MS * ratio)), response_ms)


def remaining_ms(agent, deadline_ms):
    """Return the milliseconds until a deadline, at least 0."""
    return max(0, deadline_ms - now_ms(agent))
