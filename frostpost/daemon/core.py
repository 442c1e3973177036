from hashlib import blake2b

from msgspec import Struct

from frostpost.ledger import duties
from frostpost.ledger.apply import apply, decodeState, encode
from frostpost.ledger.state import Granary
from frostpost.ledger.words import Ballot, Rules, Verdict
from frostpost.virtual_synchrony import state as hedges
from frostpost.virtual_synchrony import watch
from frostpost.virtual_synchrony.step import step as hedgeStep
from frostpost.virtual_synchrony.events import (
    Appended,
    Applied,
    Asked,
    Booted,
    Filled,
    Installed,
    Numbered,
    Out,
    Overfull,
    Rewrite,
    Snapshot,
    SnapshotAsked,
)
from frostpost.virtual_synchrony.words import SPEAKS, Piece


class Decided(Struct, frozen=True, tag=20):
    number: int
    verdict: Verdict | None


class Core(Struct):
    hedge: hedges.Hedge
    granary: Granary
    cached: bytes = b""
    cachedIndex: int = -1
    balloted: dict[str, int] = {}
    ruled: object = None


def begin(place, bounds, seeds, voters, log, nowMs):
    hedge, out = hedges.begin(place, bounds, seeds, voters, log, nowMs)
    granary = decodeState(log.snapshot) if log.snapshot else Granary()
    for entry in log.entries[: max(0, log.settled - log.start)]:
        granary, _ = apply(granary, entry)
    log.snapshot = b""
    log.voters = granary.voters or log.voters
    return Core(hedge, granary), out


def step(core, input):
    _, out = hedgeStep(core.hedge, input)
    told = settleAnswers(core, out)
    while asks := ballots(core):
        for payload in asks:
            _, more = hedgeStep(core.hedge, Asked(input.nowMs, payload))
            out.sends += more.sends
            out.writes += more.writes
            told += [a for a in settleAnswers(core, more) if not isinstance(a, (Numbered, Overfull))]
    follow(core)
    rewrite(core, out)
    return core, Out(out.sends, out.writes, told)


def settleAnswers(core, out):
    told = []
    for answer in out.answers:
        match answer:
            case Applied(entry):
                core.granary, verdict = apply(core.granary, entry)
                if entry.sender == core.hedge.me and entry.number:
                    told.append(Decided(entry.number, verdict))
                told.append(answer)
            case Filled(_, state):
                core.granary = decodeState(state)
                told += forgotten(core)
                told.append(answer)
            case SnapshotAsked():
                sendPiece(core, out, answer)
            case _:
                told.append(answer)
    return told


def follow(core):
    voters, hedge = core.granary.voters, core.hedge
    if voters and voters != hedge.voters:
        hedge.voters = hedge.log.voters = voters
    if hedge.primary.opened and hedge.primary.voters != voters:
        hedge.primary.voters, hedge.primary.coming = voters, ()
    elif hedge.primary.opened and hedge.primary.coming:
        hedge.primary.coming = ()


def forgotten(core):
    boot, number = core.granary.sessions.get(core.hedge.name, (0, 0))
    if boot != core.hedge.me.boot:
        return []
    gone = [n for n in core.hedge.outbox if n <= number]
    for n in gone:
        del core.hedge.outbox[n]
    return [Decided(n, None) for n in gone]


def sendPiece(core, out, asked):
    hedge = core.hedge
    if core.cachedIndex < hedge.log.start or not asked.offset and core.cachedIndex < hedge.applied:
        core.cached, core.cachedIndex = encode(core.granary), hedge.applied
    data = core.cached[asked.offset : asked.offset + hedge.bounds.pieceBytes]
    digest = blake2b(core.cached, digest_size=16).hexdigest()
    out.sends.append((asked.to, Piece(asked.id, core.cachedIndex, asked.offset, len(core.cached), digest, data)))


def ballots(core):
    hedge, granary = core.hedge, core.granary
    if not hedge.primary.opened or hedge.recovery or hedge.leaving:
        return []
    asks = []
    for duty, round, candidate in duties.owed(granary, hedge.me):
        mark = (hedge.configuration.id.epoch << 20) + round
        if core.balloted.get(duty) != mark:
            core.balloted[duty] = mark
            asks.append(encode(Ballot(duty, round, candidate)))
    return asks + rules(core)


def rules(core):
    hedge, granary = core.hedge, core.granary
    if granary.rules >= SPEAKS or core.ruled == hedge.configuration.id or not duties.held(granary, "ticks", hedge.me):
        return []
    places = {p.place.member: p.place for p in hedge.peers.values()} | {hedge.me: hedge.place}
    if any(m not in places or places[m].speaks < SPEAKS for m in hedge.configuration.members):
        return []
    core.ruled = hedge.configuration.id
    return [encode(Rules(SPEAKS))]


def rewrite(core, out):
    hedge, log = core.hedge, core.hedge.log
    settled = hedge.applied - log.start
    if not hedge.storage or not hedge.primary.ready or settled < hedge.bounds.rewriteEntries:
        return
    if hedge.recovery or log.length < hedge.applied:
        return
    tail = log.entries[settled:]
    log.start, log.entries, log.settled = hedge.applied, tail, hedge.applied
    hedge.wrote += 1
    hedges.count(hedge, "rewrites")
    out.writes.append(
        Rewrite(
            (
                Booted(hedge.me.boot, log.epoch),
                Snapshot(log.start, encode(core.granary)),
                Installed(log.primary, log.base, log.voters),
                *(Appended(e, log.start) for e in tail),
            )
        )
    )


def leaseOk(core, nowMs):
    return watch.leaseOk(core.hedge, nowMs)
