"""The pure core: virtual synchrony with the ledger on top, as (core, input) -> (core, output)."""

from hashlib import blake2b

from msgspec import Struct

from frostpost.ledger import duties
from frostpost.ledger.apply import apply, decode_state, encode
from frostpost.ledger.operations import Ballot, Rules
from frostpost.ledger.results import Result
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony import state as synchronies
from frostpost.virtual_synchrony import watch
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
from frostpost.virtual_synchrony.step import step as synchrony_step
from frostpost.virtual_synchrony.words import SPEAKS, Piece


class Decided(Struct, frozen=True, tag=20):
    """The result of an operation that this daemon handed in; None if it was settled but is not known any more."""

    number: int
    result: Result | None


class Core(Struct):
    """State of the core: membership and order, the ledger, and the votes cast for duties."""

    synchrony: synchronies.Synchrony
    ledger: Ledger
    cached: bytes = b""
    cached_index: int = -1
    balloted: dict[str, int] = {}
    ruled: object = None


def begin(place, bounds, seeds, voters, log, now_ms):
    """Return (core, output) of a daemon that starts with the log read from its disk."""
    synchrony, out = synchronies.begin(place, bounds, seeds, voters, log, now_ms)
    ledger = decode_state(log.snapshot) if log.snapshot else Ledger()
    for entry in log.entries[: max(0, log.settled - log.start)]:
        ledger, _ = apply(ledger, entry)
    log.snapshot = b""
    log.voters = ledger.voters or log.voters
    return Core(synchrony, ledger), out


def step(core, input):
    """Handle one input; return (core, output)."""
    _, out = synchrony_step(core.synchrony, input)
    told = settle_answers(core, out)
    while asks := ballots(core):
        for payload in asks:
            _, more = synchrony_step(core.synchrony, Asked(input.now_ms, payload))
            out.sends += more.sends
            out.writes += more.writes
            told += [a for a in settle_answers(core, more) if not isinstance(a, (Numbered, Overfull))]
    follow(core)
    rewrite(core, out)
    return core, Out(out.sends, out.writes, told)


def settle_answers(core, out):
    """Apply what was delivered to the ledger; return the answers for the shell."""
    told = []
    for answer in out.answers:
        match answer:
            case Applied(entry):
                core.ledger, result = apply(core.ledger, entry)
                if entry.sender == core.synchrony.me and entry.number:
                    told.append(Decided(entry.number, result))
                told.append(answer)
            case Filled(_, state):
                core.ledger = decode_state(state)
                told += forgotten(core)
                told.append(answer)
            case SnapshotAsked():
                send_piece(core, out, answer)
            case _:
                told.append(answer)
    return told


def follow(core):
    """Take over the voters that the ledger holds."""
    voters, synchrony = core.ledger.voters, core.synchrony
    if voters and voters != synchrony.voters:
        synchrony.voters = synchrony.log.voters = voters
    if synchrony.primary.opened and synchrony.primary.voters != voters:
        synchrony.primary.voters, synchrony.primary.coming = voters, ()
    elif synchrony.primary.opened and synchrony.primary.coming:
        synchrony.primary.coming = ()


def forgotten(core):
    """Return the outcome of own operations that a snapshot already contains."""
    boot, number = core.ledger.sessions.get(core.synchrony.name, (0, 0))
    if boot != core.synchrony.me.boot:
        return []
    gone = [n for n in core.synchrony.outbox if n <= number]
    for n in gone:
        del core.synchrony.outbox[n]
    return [Decided(n, None) for n in gone]


def send_piece(core, out, asked):
    """Send a peer a piece of the ledger's snapshot."""
    synchrony = core.synchrony
    if core.cached_index < synchrony.log.start or not asked.offset and core.cached_index < synchrony.applied:
        core.cached, core.cached_index = encode(core.ledger), synchrony.applied
    data = core.cached[asked.offset : asked.offset + synchrony.bounds.piece_bytes]
    digest = blake2b(core.cached, digest_size=16).hexdigest()
    out.sends.append((asked.to, Piece(asked.id, core.cached_index, asked.offset, len(core.cached), digest, data)))


def ballots(core):
    """Return the encoded votes that this daemon has yet to cast."""
    synchrony, ledger = core.synchrony, core.ledger
    if not synchrony.primary.opened or synchrony.recovery or synchrony.leaving:
        return []
    asks = []
    for duty, round, candidate in duties.owed(ledger, synchrony.me):
        mark = (synchrony.configuration.id.epoch << 20) + round
        if core.balloted.get(duty) != mark:
            core.balloted[duty] = mark
            asks.append(encode(Ballot(duty, round, candidate)))
    return asks + rules(core)


def rules(core):
    """Return the operation that raises the ledger's rules, once every member speaks the new version."""
    synchrony, ledger = core.synchrony, core.ledger
    if (
        ledger.rules >= SPEAKS
        or core.ruled == synchrony.configuration.id
        or not duties.held(ledger, "ticks", synchrony.me)
    ):
        return []
    places = {p.place.member: p.place for p in synchrony.peers.values()} | {synchrony.me: synchrony.place}
    if any(m not in places or places[m].speaks < SPEAKS for m in synchrony.configuration.members):
        return []
    core.ruled = synchrony.configuration.id
    return [encode(Rules(SPEAKS))]


def rewrite(core, out):
    """Replace the log by a snapshot once enough entries have been applied."""
    synchrony, log = core.synchrony, core.synchrony.log
    settled = synchrony.applied - log.start
    if not synchrony.storage or not synchrony.primary.ready or settled < synchrony.bounds.rewrite_entries:
        return
    if synchrony.recovery or log.length < synchrony.applied:
        return
    tail = log.entries[settled:]
    log.start, log.entries, log.settled = synchrony.applied, tail, synchrony.applied
    synchrony.wrote += 1
    synchronies.count(synchrony, "rewrites")
    out.writes.append(
        Rewrite(
            (
                Booted(synchrony.me.boot, log.epoch),
                Snapshot(log.start, encode(core.ledger)),
                Installed(log.primary, log.base, log.voters),
                *(Appended(e, log.start) for e in tail),
            )
        )
    )


def lease_ok(core, now_ms):
    """Tell whether the lease allows this daemon to serve at that time."""
    return watch.lease_ok(core.synchrony, now_ms)
