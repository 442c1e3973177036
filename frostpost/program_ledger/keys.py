"""Operation keys: the first try with a key runs, repeats get its answer, for a window from the claim."""

from heapq import heappush

from .state import Key
from .turns import entomb
from .words import Claimed, Ended, KeyAnswered, KeyAtWork, NoAttempt


def claim(program_ledger, now_ms, op):
    if tomb(op) in program_ledger.tombs:
        return NoAttempt(op.attempt)
    held = program_ledger.keys.get(op.key)
    if held is None:
        until_ms = now_ms + op.window_ms
        program_ledger.keys[op.key] = Key(op.attempt, until_ms)
        heappush(program_ledger.expiries, (until_ms, "key", op.key))
        return Claimed()
    if held.answered:
        return KeyAnswered(held.answer)
    return Claimed() if held.attempt == op.attempt else KeyAtWork()


def tomb(op):
    return f"{op.attempt}|{op.key}"


def resolve(program_ledger, now_ms, op):
    held = program_ledger.keys.get(op.key)
    if held is None or held.attempt != op.attempt:
        return NoAttempt(op.attempt)
    if not held.answered:
        held.answer, held.answered = op.answer, True
    return Ended()


def disclaim(program_ledger, now_ms, op):
    held = program_ledger.keys.get(op.key)
    if held is not None and held.attempt == op.attempt:
        if held.answered:
            return NoAttempt(op.attempt)
        del program_ledger.keys[op.key]
    entomb(program_ledger, now_ms, tomb(op))
    return Ended()


def expire_key(program_ledger, now_ms, name):
    held = program_ledger.keys.get(name)
    if held is not None and held.until_ms <= now_ms:
        del program_ledger.keys[name]
