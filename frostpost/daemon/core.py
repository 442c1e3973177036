"""The pure core: virtual synchrony with the ledger on top, as (core, input) -> (core, output)."""

from msgspec import Struct, field

from frostpost.ledger import singleton_roles, snapshots
from frostpost.ledger.apply import apply, encode
from frostpost.ledger.operations import Ballot, Rules
from frostpost.ledger.results import Result
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony import leases
from frostpost.virtual_synchrony import state as synchronies
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION
from frostpost.virtual_synchrony.events import (
    EntryApplied,
    OperationNumbered,
    OperationSubmitted,
    Output,
    SnapshotInstalled,
    SnapshotReceived,
    SnapshotRequested,
    TimerTick,
    WindowFull,
)
from frostpost.virtual_synchrony.step import step as synchrony_step

from . import snapshotting
from .snapshot_state import Snapshots


class OperationDecided(Struct, frozen=True, tag=20):
    """The result of an operation that this daemon submitted; None if it was committed but its result is no longer
    known.
    """

    number: int
    result: Result | None


class SnapshotSlice(Struct, frozen=True, tag=21):
    """An input that only goes on with a snapshot under way."""

    now_ms: int


class Core(Struct):
    """State of the core: membership and order, the ledger, and the ballots cast for singleton roles.

    balloted: the ballot cast last, by role. ruled: the configuration in which this daemon last raised the rules.
    """

    synchrony: synchronies.Synchrony
    ledger: Ledger
    snapshots: Snapshots = field(default_factory=Snapshots)
    balloted: dict[str, int] = {}
    ruled: object = None


def begin(endpoint, bounds, seeds, voters, log, now_ms):
    """Return (core, output) of a daemon that starts with the log read from its disk."""
    synchrony, out = synchronies.create_synchrony(endpoint, bounds, seeds, voters, log, now_ms)
    ledger = snapshots.run_to_completion(snapshots.decode_in_slices(log.snapshot)) if log.snapshot else Ledger()
    for entry in log.entries[: max(0, log.commit_index - log.snapshot_index)]:
        ledger, _ = apply(ledger, entry)
    log.snapshot = b""
    log.voters = ledger.voters or log.voters
    return Core(synchrony, ledger), out


def step(core, input):
    """Handle one input; return (core, output)."""
    out = Output() if isinstance(input, SnapshotSlice) else synchrony_step(core.synchrony, input)[1]
    if isinstance(input, SnapshotSlice | TimerTick):
        snapshotting.advance(core, out)
    snapshotting.give_way(core, out)
    told = apply_answers(core, out)
    while asks := pending_ballots(core):
        for payload in asks:
            _, more = synchrony_step(core.synchrony, OperationSubmitted(input.now_ms, payload))
            out.sends += more.sends
            out.writes += more.writes
            told += [a for a in apply_answers(core, more) if not isinstance(a, (OperationNumbered, WindowFull))]
    follow_ledger_voters(core)
    snapshotting.rewrite(core, out)
    return core, Output(out.sends, out.writes, told)


def apply_answers(core, out):
    """Apply what was delivered to the ledger; return the answers for the shell."""
    told = []
    for answer in out.notifications:
        match answer:
            case EntryApplied(entry):
                core.ledger, result = apply(core.ledger, entry)
                if entry.sender == core.synchrony.local_member and entry.number:
                    told.append(OperationDecided(entry.number, result))
                told.append(answer)
            case SnapshotInstalled():
                told += answered_by_snapshot(core)
                told.append(answer)
            case SnapshotRequested():
                snapshotting.asked(core, out, answer)
            case SnapshotReceived():
                snapshotting.received(core, out, answer)
            case _:
                told.append(answer)
    return told


def follow_ledger_voters(core):
    """Take over the voters that the ledger holds."""
    voters, synchrony = core.ledger.voters, core.synchrony
    if voters and voters != synchrony.voters:
        synchrony.voters = synchrony.log.voters = voters
    if synchrony.primary.opened and synchrony.primary.voters != voters:
        synchrony.primary.voters, synchrony.primary.pending_voters = voters, ()
    elif synchrony.primary.opened and synchrony.primary.pending_voters:
        synchrony.primary.pending_voters = ()


def answered_by_snapshot(core):
    """Return the outcome of own operations that a snapshot already contains."""
    incarnation, number = core.ledger.sessions.get(core.synchrony.name, (0, 0))
    if incarnation != core.synchrony.local_member.incarnation:
        return []
    gone = [n for n in core.synchrony.outbox if n <= number]
    for n in gone:
        del core.synchrony.outbox[n]
    return [OperationDecided(n, None) for n in gone]


def pending_ballots(core):
    """Return the encoded votes that this daemon has yet to cast."""
    synchrony, ledger = core.synchrony, core.ledger
    if not synchrony.primary.opened or synchrony.recovery or synchrony.draining:
        return []
    asks = []
    for duty, round, candidate in singleton_roles.pending_ballots(ledger, synchrony.local_member):
        mark = (synchrony.configuration.id.epoch << 20) + round
        if core.balloted.get(duty) != mark:
            core.balloted[duty] = mark
            asks.append(encode(Ballot(duty, round, candidate)))
    return asks + rules_upgrade(core)


def rules_upgrade(core):
    """Return the operation that raises the ledger's rules, once every member speaks the new version."""
    synchrony, ledger = core.synchrony, core.ledger
    if (
        ledger.rules >= PROTOCOL_REVISION
        or core.ruled == synchrony.configuration.id
        or not singleton_roles.fencing_token(ledger, "ticks", synchrony.local_member)
    ):
        return []
    endpoints = {p.endpoint.member: p.endpoint for p in synchrony.peers.values()} | {
        synchrony.local_member: synchrony.endpoint
    }
    if any(
        m not in endpoints or endpoints[m].protocol_revision < PROTOCOL_REVISION
        for m in synchrony.configuration.members
    ):
        return []
    core.ruled = synchrony.configuration.id
    return [encode(Rules(PROTOCOL_REVISION))]


def holds_lease(core, now_ms):
    """Tell whether the lease allows this daemon to serve at that time."""
    return leases.holds_lease(core.synchrony, now_ms)
