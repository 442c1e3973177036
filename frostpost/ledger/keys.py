"""Idempotency keys: each key is run once, and its result is shared until its window ends."""

from heapq import heappush

from .entities import Claim
from .results import Done, KeyReused, NotHeld, Shared, Won


def claim(ledger, entry, op):
    """Give a key to its first claimant; later claimants get its state and result."""
    existing = ledger.keys.get(op.key)
    if existing is None:
        ledger.keys[op.key] = Claim(op.digest, entry.sender, op.window_ms)
        return Won(entry.index)
    if existing.digest != op.digest:
        return KeyReused(op.key)
    return Shared(existing.status, existing.result)


def complete(ledger, key, status, result):
    """Record the final state of a key and schedule its expiry."""
    existing = ledger.keys[key]
    existing.status, existing.result, existing.ended_ms = status, result, ledger.clock_ms
    heappush(ledger.expiries, (ledger.clock_ms + existing.window_ms, "key", key))


def finish(ledger, entry, op):
    """Record the result of a key, as reported by its owner."""
    existing = ledger.keys.get(op.key)
    if existing is None or existing.owner != entry.sender or existing.status != "held":
        return NotHeld("key")
    complete(ledger, op.key, op.status, op.result)
    return Done(entry.index)


def unclaim(ledger, entry, op):
    """Release a key whose request was never executed."""
    existing = ledger.keys.get(op.key)
    if existing is None or existing.owner != entry.sender or existing.status != "held":
        return NotHeld("key")
    del ledger.keys[op.key]
    return Done(entry.index)


def end_orphaned_claims(ledger):
    """End the open keys of departed members with the status "unknown"."""
    for key, existing in ledger.keys.items():
        if existing.status == "held" and existing.owner not in ledger.members:
            complete(ledger, key, "unknown", b"")


def restart_windows(ledger):
    """Restart the windows of completed keys after a full stop, during which the ledger's clock did not advance."""
    for key, existing in ledger.keys.items():
        if existing.ended_ms >= 0:
            complete(ledger, key, existing.status, existing.result)


def expire(ledger, key):
    """Remove a key whose window has passed."""
    existing = ledger.keys.get(key)
    if existing and existing.ended_ms >= 0 and ledger.clock_ms - existing.ended_ms >= existing.window_ms:
        del ledger.keys[key]
