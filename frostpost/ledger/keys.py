"""Idempotency keys: each key is run once, and its result is shared until its window ends."""

from heapq import heappush

from .entities import Claim
from .results import Done, KeyReused, NotHeld, Shared, Won


def claim(ledger, entry, op):
    """Give a key to its first claimant; later claimants get the state and result of the first."""
    held = ledger.keys.get(op.key)
    if held is None:
        ledger.keys[op.key] = Claim(op.digest, entry.sender, op.window_ms)
        return Won(entry.index)
    if held.digest != op.digest:
        return KeyReused(op.key)
    return Shared(held.status, held.result)


def complete(ledger, key, status, result):
    """Record the final state of a key and schedule its removal."""
    held = ledger.keys[key]
    held.status, held.result, held.ended_ms = status, result, ledger.clock_ms
    heappush(ledger.expiries, (ledger.clock_ms + held.window_ms, "key", key))


def finish(ledger, entry, op):
    """Record the result of a key that its owner ran."""
    held = ledger.keys.get(op.key)
    if held is None or held.owner != entry.sender or held.status != "held":
        return NotHeld("key")
    complete(ledger, op.key, op.status, op.result)
    return Done(entry.index)


def unclaim(ledger, entry, op):
    """Give up a key whose work never ran."""
    held = ledger.keys.get(op.key)
    if held is None or held.owner != entry.sender or held.status != "held":
        return NotHeld("key")
    del ledger.keys[op.key]
    return Done(entry.index)


def end_orphaned_claims(ledger):
    """End the keys of members that are gone; their outcome is unknown."""
    for key, held in ledger.keys.items():
        if held.status == "held" and held.owner not in ledger.members:
            complete(ledger, key, "unknown", b"")


def restart_windows(ledger):
    """Start the windows of ended keys again, after a time in which no ledger clock ran."""
    for key, held in ledger.keys.items():
        if held.ended_ms >= 0:
            complete(ledger, key, held.status, held.result)


def expire(ledger, key):
    """Remove a key whose window has passed."""
    held = ledger.keys.get(key)
    if held and held.ended_ms >= 0 and ledger.clock_ms - held.ended_ms >= held.window_ms:
        del ledger.keys[key]
