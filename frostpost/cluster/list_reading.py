"""Readings of the platform's runner list: an agent's own last one and the newest of the fleet.

Each agent reads the list itself. Lease requests and replies carry two things through the leader: the draining runners
by name, and a digest of the newest reading; an agent whose own digest differs reads the list again.
"""

from collections.abc import Callable
from zlib import crc32

from msgspec import Struct

NEVER_MS = -(1 << 40)
# The age sent by a daemon that has never read the list.
NEVER_READ_AGE_MS = -1


class ListReading(Struct, frozen=True):
    """One reading of the list, at read_ms on the clock of the daemon that holds this value."""

    digest: int = 0
    read_ms: int = NEVER_MS


class RunnerListState(Struct):
    """The runner list as an agent holds it: written by `proxy.runner_discovery`, sent with lease requests.

    last: the agent's last reading; draining: the runners draining in it; pages: its number of pages.
    reported_draining: runners that other agents reported as draining, with the time at which the report expires.
    poll_period_ms() returns the fleet's poll period, or 0 if this agent can't poll now. on_draining(names),
    on_newest_reading(reading) and on_poll_granted() are called with what a lease reply carries.
    """

    last: ListReading = ListReading()
    draining: tuple[str, ...] = ()
    pages: int = 1
    reported_draining: dict[str, int] = {}
    on_draining: Callable | None = None
    on_newest_reading: Callable | None = None
    on_poll_granted: Callable | None = None
    poll_period_ms: Callable = lambda: 0


def digest_of(runner_ids):
    """A digest of the runners on a list, independent of their order."""
    return crc32("\n".join(sorted(runner_ids)).encode())


def age_ms(reading, now_ms):
    """The age of a reading, as sent in a message."""
    return NEVER_READ_AGE_MS if reading.read_ms == NEVER_MS else max(0, now_ms - reading.read_ms)


def reading_from_message(digest, age_in_message_ms, now_ms):
    """Returns the reading that a message carries, with its time on this daemon's clock."""
    return ListReading() if age_in_message_ms < 0 else ListReading(digest, now_ms - age_in_message_ms)


def newer(first, second):
    """The later of two readings."""
    return second if second.read_ms > first.read_ms else first
