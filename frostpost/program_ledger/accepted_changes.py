"""Accepted changes of the routing, retained so that a resent change is acknowledged again.

Each version is made by one change, and versions increase, so a change is looked up by its version and identified by its
digest. It is retained until its retention has passed and MIN_RETAINED_CHANGES newer ones have been accepted, or until
there are MAX_RETAINED_CHANGES newer ones. The highest evicted version is recorded: a change at or below it that is not
retained may have been accepted, so it is neither acknowledged nor rejected.
"""

from .state import AcceptedChange

MIN_RETAINED_CHANGES = 1024
MAX_RETAINED_CHANGES = 8192


def was_accepted(program_ledger, version, digest):
    """Return whether the change with this digest is retained as having made this version."""
    change = program_ledger.taken.get(version)
    return change is not None and change.digest == digest


def may_have_been_evicted(program_ledger, version):
    """Return whether a change that made this version may have been accepted and evicted."""
    return version <= program_ledger.forgotten_version


def record(program_ledger, now_ms, version, digest, retention_ms):
    """Record an accepted change and evict the oldest ones."""
    program_ledger.taken[version] = AcceptedChange(digest, now_ms + retention_ms)
    while len(program_ledger.taken) > MAX_RETAINED_CHANGES or is_oldest_evictable(program_ledger, now_ms):
        oldest = next(iter(program_ledger.taken))
        del program_ledger.taken[oldest]
        program_ledger.forgotten_version = oldest


def is_oldest_evictable(program_ledger, now_ms):
    """Return whether the oldest change has passed its retention and enough newer ones are retained."""
    if len(program_ledger.taken) <= MIN_RETAINED_CHANGES:
        return False
    return program_ledger.taken[next(iter(program_ledger.taken))].until_ms <= now_ms
