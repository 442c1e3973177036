"""Operation keys: the first attempt with a key is executed, later ones get its answer, for a window from the claim."""

from heapq import heappush

from .messages import AttemptEnded, KeyAnswered, KeyClaimed, KeyInProgress, NoAttempt
from .state import OperationKey
from .turns import add_tombstone


def claim(program_ledger, now_ms, op):
    """Give a key to its first attempt; others get its answer, or KeyInProgress while there is none."""
    if tombstone_name(op) in program_ledger.tombs:
        return NoAttempt(op.attempt)
    existing = program_ledger.keys.get(op.key)
    if existing is None:
        until_ms = now_ms + op.window_ms
        program_ledger.keys[op.key] = OperationKey(op.attempt, until_ms)
        heappush(program_ledger.expiries, (until_ms, "key", op.key))
        return KeyClaimed()
    if existing.answered:
        return KeyAnswered(existing.answer)
    return KeyClaimed() if existing.attempt == op.attempt else KeyInProgress()


def tombstone_name(op):
    """Return the name of the tombstone for a key that an attempt released."""
    return f"{op.attempt}|{op.key}"


def resolve(program_ledger, now_ms, op):
    """Record the answer of a key, as reported by the attempt that owns it."""
    existing = program_ledger.keys.get(op.key)
    if existing is None or existing.attempt != op.attempt:
        return NoAttempt(op.attempt)
    if not existing.answered:
        existing.answer, existing.answered = op.answer, True
    return AttemptEnded()


def release(program_ledger, now_ms, op):
    """Release a key whose request was not executed; a later claim by the same attempt is refused."""
    existing = program_ledger.keys.get(op.key)
    if existing is not None and existing.attempt == op.attempt:
        if existing.answered:
            return NoAttempt(op.attempt)
        del program_ledger.keys[op.key]
    add_tombstone(program_ledger, now_ms, tombstone_name(op))
    return AttemptEnded()


def expire_key(program_ledger, now_ms, name):
    """Remove a key whose window has passed."""
    existing = program_ledger.keys.get(name)
    if existing is not None and existing.until_ms <= now_ms:
        del program_ledger.keys[name]
