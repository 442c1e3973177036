from heapq import heappop, heappush

from msgspec import msgpack

from frostpost.program_ledger import apply as coppices
from . import configs, duties, keys, programs
from .state import Granary
from .words import (
    Ballot,
    ClaimKey,
    Done,
    Drain,
    Finish,
    Fire,
    Look,
    NotHeld,
    Op,
    Open,
    Release,
    Reserve,
    Rules,
    Runners,
    SetConfig,
    SetMany,
    Settle,
    SetVoters,
    StaleConfig,
    Tick,
    Unclaim,
    Verdict,
    VotersSet,
)

ABSENT_MS = 600000
decodeOp = msgpack.Decoder(Op).decode
encode = msgpack.Encoder().encode
decodeState = msgpack.Decoder(Granary).decode


def apply(granary, entry):
    granary.index = entry.index
    if entry.number:
        boot, number = granary.sessions.get(entry.sender.name, (0, 0))
        if boot == entry.sender.boot and entry.number <= number:
            return granary, None
        granary.sessions[entry.sender.name] = (entry.sender.boot, entry.number)
    return granary, act(granary, entry, decodeOp(entry.payload))


def act(granary, entry, op) -> Verdict:
    match op:
        case Open(members, cores, voters):
            stopped = bool(granary.members) and not set(granary.members) & set(members)
            granary.members, granary.cores = members, cores
            granary.voters = granary.voters or voters
            programs.orphan(granary)
            keys.orphan(granary)
            duties.vacate(granary)
            if stopped:
                keys.anew(granary)
                programs.anew(granary)
            return Done(entry.index)
        case Tick():
            return tick(granary, entry, op)
        case Reserve():
            return programs.reserve(granary, entry, op)
        case Settle():
            return programs.settle(granary, entry, op)
        case Release():
            return programs.release(granary, entry, op)
        case ClaimKey():
            return keys.claim(granary, entry, op)
        case Finish():
            return keys.finish(granary, entry, op)
        case Unclaim():
            return keys.unclaim(granary, entry, op)
        case Runners():
            return list_(granary, entry, op)
        case Drain():
            return drain(granary, entry, op)
        case SetConfig():
            return config(granary, entry, op)
        case SetMany():
            return configs.many(granary, entry, op)
        case Rules(version):
            granary.rules = max(granary.rules, version)
            return Done(entry.index)
        case Look():
            return Done(entry.index)
        case Fire():
            return fire(granary, entry, op)
        case SetVoters():
            return voters_(granary, entry, op)
        case Ballot():
            return duties.ballot(granary, entry, op)
        case _:
            members = tuple(m.name for m in granary.members)
            return coppices.act(granary.coppice, granary.clockMs, members, granary.voters, op)


def tick(granary, entry, op):
    fault = duties.fenced(granary, "ticks", entry, op.fence)
    if fault:
        return fault
    granary.clockMs += max(0, op.elapsedMs)
    while granary.expiries and granary.expiries[0][0] <= granary.clockMs:
        _, kind, name = heappop(granary.expiries)
        EXPIRE[kind](granary, name)
    coppices.expire(granary.coppice, granary.clockMs)
    return Done(entry.index)


def list_(granary, entry, op):
    fault = duties.fenced(granary, "list", entry, op.fence)
    if fault:
        return fault
    granary.runners = {r.name: r for r in op.entries}
    listed = {programs.instanceKey(r) for r in op.entries}
    for key in granary.leaving:
        if key not in listed:
            heappush(granary.expiries, (granary.clockMs + ABSENT_MS, "leaving", key))
    return Done(entry.index)


def expireLeaving(granary, key):
    if key not in {programs.instanceKey(r) for r in granary.runners.values()}:
        granary.leaving.pop(key, None)


EXPIRE = {"program": programs.expire, "key": keys.expire, "leaving": expireLeaving}


def drain(granary, entry, op):
    runner = granary.runners.get(op.runner)
    if runner is None:
        return NotHeld("runner")
    if op.leaving:
        granary.leaving[programs.instanceKey(runner)] = entry.index
    else:
        granary.leaving.pop(programs.instanceKey(runner), None)
    return Done(entry.index)


def fire(granary, entry, op):
    fault = duties.fenced(granary, "calendars", entry, op.fence)
    if fault:
        return fault
    if op.atS <= granary.fired.get(op.path, 0):
        return NotHeld("calendar")
    said = Done(entry.index) if op.change is None else config(granary, entry, op.change)
    if not isinstance(said, StaleConfig):
        granary.fired[op.path] = op.atS
    return said


def voters_(granary, entry, op):
    one = len(set(op.before) ^ set(op.after)) == 1
    if op.before != granary.voters or op.configuration != entry.configuration or not one:
        return NotHeld("voters")
    granary.voters = op.after
    return VotersSet(op.after)


def config(granary, entry, op):
    return configs.one(granary, entry, op)
