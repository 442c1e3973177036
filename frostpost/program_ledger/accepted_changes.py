"""Changes of the routing that were taken, remembered so that one that is sent again is acknowledged again.

A version is made by one change only, and versions rise, so a change is found by its number and told from others of the
same number by its digest. It is remembered until its time is over and LEAST_REMEMBERED newer ones were taken, or until
there are MOST_REMEMBERED newer ones. What is forgotten leaves its number behind: a change at or below the newest
forgotten number may have been taken, so it is neither acknowledged nor refused.
"""

from .state import AcceptedChange

MIN_RETAINED_CHANGES = 1024
MAX_RETAINED_CHANGES = 8192


def was_accepted(program_ledger, version, digest):
    """Whether this very change led to this version."""
    found = program_ledger.taken.get(version)
    return found is not None and found.digest == digest


def may_be_evicted(program_ledger, version):
    """Whether a change of this number, if it isn't remembered, may have been taken all the same."""
    return version <= program_ledger.forgotten_version


def record(program_ledger, now_ms, version, digest, keep_ms):
    """Note a change that has just been taken, and forget the oldest ones."""
    program_ledger.taken[version] = AcceptedChange(digest, now_ms + keep_ms)
    while len(program_ledger.taken) > MAX_RETAINED_CHANGES or is_oldest_evictable(program_ledger, now_ms):
        oldest = next(iter(program_ledger.taken))
        del program_ledger.taken[oldest]
        program_ledger.forgotten_version = oldest


def is_oldest_evictable(program_ledger, now_ms):
    """Whether the oldest change has been remembered for its time, and enough newer ones were taken."""
    if len(program_ledger.taken) <= MIN_RETAINED_CHANGES:
        return False
    return program_ledger.taken[next(iter(program_ledger.taken))].until_ms <= now_ms
