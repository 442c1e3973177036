"""Operation keys: the first try with a key runs, repeats get its answer, for a window from the claim."""

from heapq import heappush

from .state import Key
from .turns import entomb
from .words import Claimed, Ended, KeyAnswered, KeyAtWork, NoAttempt


def claim(coppice, now_ms, op):
    if tomb(op) in coppice.tombs:
        return NoAttempt(op.attempt)
    held = coppice.keys.get(op.key)
    if held is None:
        until_ms = now_ms + op.window_ms
        coppice.keys[op.key] = Key(op.attempt, until_ms)
        heappush(coppice.expiries, (until_ms, "key", op.key))
        return Claimed()
    if held.answered:
        return KeyAnswered(held.answer)
    return Claimed() if held.attempt == op.attempt else KeyAtWork()


def tomb(op):
    return f"{op.attempt}|{op.key}"


def resolve(coppice, now_ms, op):
    held = coppice.keys.get(op.key)
    if held is None or held.attempt != op.attempt:
        return NoAttempt(op.attempt)
    if not held.answered:
        held.answer, held.answered = op.answer, True
    return Ended()


def disclaim(coppice, now_ms, op):
    held = coppice.keys.get(op.key)
    if held is not None and held.attempt == op.attempt:
        if held.answered:
            return NoAttempt(op.attempt)
        del coppice.keys[op.key]
    entomb(coppice, now_ms, tomb(op))
    return Ended()


def expire_key(coppice, now_ms, name):
    held = coppice.keys.get(name)
    if held is not None and held.until_ms <= now_ms:
        del coppice.keys[name]
