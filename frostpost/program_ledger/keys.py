"""Operation keys: the first try with a key runs, repeats get its answer, for a window from the claim."""

from heapq import heappush

from .messages import AttemptEnded, KeyAnswered, KeyClaimed, KeyInProgress, NoAttempt
from .state import OperationKey
from .turns import add_tombstone


def claim(program_ledger, now_ms, op):
    """Give a key to its first attempt; others learn that it is at work, or its answer."""
    if tombstone_name(op) in program_ledger.tombs:
        return NoAttempt(op.attempt)
    held = program_ledger.keys.get(op.key)
    if held is None:
        until_ms = now_ms + op.window_ms
        program_ledger.keys[op.key] = OperationKey(op.attempt, until_ms)
        heappush(program_ledger.expiries, (until_ms, "key", op.key))
        return KeyClaimed()
    if held.answered:
        return KeyAnswered(held.answer)
    return KeyClaimed() if held.attempt == op.attempt else KeyInProgress()


def tombstone_name(op):
    """Return the name under which an attempt is remembered as having given up a key."""
    return f"{op.attempt}|{op.key}"


def resolve(program_ledger, now_ms, op):
    """Record the answer of a key's attempt."""
    held = program_ledger.keys.get(op.key)
    if held is None or held.attempt != op.attempt:
        return NoAttempt(op.attempt)
    if not held.answered:
        held.answer, held.answered = op.answer, True
    return AttemptEnded()


def release(program_ledger, now_ms, op):
    """Give up a key whose work was not run; a late claim of the same attempt is refused."""
    held = program_ledger.keys.get(op.key)
    if held is not None and held.attempt == op.attempt:
        if held.answered:
            return NoAttempt(op.attempt)
        del program_ledger.keys[op.key]
    add_tombstone(program_ledger, now_ms, tombstone_name(op))
    return AttemptEnded()


def expire_key(program_ledger, now_ms, name):
    """Remove a key whose window has passed."""
    held = program_ledger.keys.get(name)
    if held is not None and held.until_ms <= now_ms:
        del program_ledger.keys[name]
