from heapq import heappush

from .words import Claim, Done, KeyReused, NotHeld, Shared, Won


def claim(granary, entry, op):
    held = granary.keys.get(op.key)
    if held is None:
        granary.keys[op.key] = Claim(op.digest, entry.sender, op.windowMs)
        return Won(entry.index)
    if held.digest != op.digest:
        return KeyReused(op.key)
    return Shared(held.status, held.verdict)


def end(granary, key, status, verdict):
    held = granary.keys[key]
    held.status, held.verdict, held.endedMs = status, verdict, granary.clockMs
    heappush(granary.expiries, (granary.clockMs + held.windowMs, "key", key))


def finish(granary, entry, op):
    held = granary.keys.get(op.key)
    if held is None or held.owner != entry.sender or held.status != "held":
        return NotHeld("key")
    end(granary, op.key, op.status, op.verdict)
    return Done(entry.index)


def unclaim(granary, entry, op):
    held = granary.keys.get(op.key)
    if held is None or held.owner != entry.sender or held.status != "held":
        return NotHeld("key")
    del granary.keys[op.key]
    return Done(entry.index)


def orphan(granary):
    for key, held in granary.keys.items():
        if held.status == "held" and held.owner not in granary.members:
            end(granary, key, "unknown", b"")


def anew(granary):
    for key, held in granary.keys.items():
        if held.endedMs >= 0:
            end(granary, key, held.status, held.verdict)


def expire(granary, key):
    held = granary.keys.get(key)
    if held and held.endedMs >= 0 and granary.clockMs - held.endedMs >= held.windowMs:
        del granary.keys[key]
