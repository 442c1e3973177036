"""The pure core: virtual synchrony and the ledger that it replicates, advanced one input at a time without I/O."""

from msgspec import Struct, field

from frostpost.ledger import singleton_roles, snapshots
from frostpost.ledger.apply import apply, encode
from frostpost.ledger.operations import TASK_RULES, Ballot, Rules
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
from frostpost.virtual_synchrony.outbox import remove_from_outbox
from frostpost.virtual_synchrony.step import step as synchrony_step

from . import snapshotting
from .snapshot_state import Snapshots


class OperationDecided(Struct, frozen=True, tag=20):
    """The result of an operation that this daemon submitted.

    It is None if the operation was committed, but a snapshot replaced the entry from which its result would follow.
    """

    number: int
    result: Result | None


class SnapshotSlice(Struct, frozen=True, tag=21):
    """An input that processes the next slice of the snapshot in progress."""

    now_ms: int


class Core(Struct):
    """State of the core: membership and total order, the replicated ledger, and its snapshots.

    `cast_ballots` holds the epoch and round of the last ballot that this daemon cast, by singleton role, and
    `rules_upgraded_in` the configuration in which it last submitted an upgrade of the ledger's rules, and the version.
    """

    synchrony: synchronies.Synchrony
    ledger: Ledger
    snapshots: Snapshots = field(default_factory=Snapshots)
    cast_ballots: dict[str, int] = {}
    rules_upgraded_in: object = None


def create_core(endpoint, bounds, seeds, voters, log, now_ms):
    """Return the core of a daemon that starts with the log read from its disk, and its first output."""
    synchrony, out = synchronies.create_synchrony(endpoint, bounds, seeds, voters, log, now_ms)
    ledger = snapshots.run_to_completion(snapshots.decode_in_slices(log.snapshot)) if log.snapshot else Ledger()
    for entry in log.entries[: max(0, log.commit_index - log.snapshot_index)]:
        ledger, _ = apply(ledger, entry)
    log.snapshot = b""
    log.voters = ledger.voters or log.voters
    return Core(synchrony, ledger), out


def step(core, input):
    """Handle one input; return the core and its output."""
    out = Output() if isinstance(input, SnapshotSlice) else synchrony_step(core.synchrony, input)[1]
    if isinstance(input, SnapshotSlice | TimerTick):
        snapshotting.advance(core, out)
    snapshotting.abort_for_opening(core, out)
    notifications = apply_notifications(core, out)
    while payloads := pending_ballots(core):
        for payload in payloads:
            _, ballot_out = synchrony_step(core.synchrony, OperationSubmitted(input.now_ms, payload))
            out.sends += ballot_out.sends
            out.writes += ballot_out.writes
            notifications += [
                a for a in apply_notifications(core, ballot_out) if not isinstance(a, (OperationNumbered, WindowFull))
            ]
    adopt_ledger_voters(core)
    snapshotting.compact_log(core, out)
    return core, Output(out.sends, out.writes, notifications)


def apply_notifications(core, out):
    """Apply delivered entries to the ledger; return the notifications for the event loop."""
    notifications = []
    for notification in out.notifications:
        match notification:
            case EntryApplied(entry):
                core.ledger, result = apply(core.ledger, entry)
                if entry.sender == core.synchrony.local_member and entry.number:
                    notifications.append(OperationDecided(entry.number, result))
                notifications.append(notification)
            case SnapshotInstalled():
                notifications += take_operations_in_snapshot(core)
                notifications.append(notification)
            case SnapshotRequested():
                snapshotting.on_requested(core, out, notification)
            case SnapshotReceived():
                snapshotting.on_received(core, out, notification)
            case _:
                notifications.append(notification)
    return notifications


def adopt_ledger_voters(core):
    """Set the voters of the synchrony to those of the ledger."""
    voters, synchrony = core.ledger.voters, core.synchrony
    if voters and voters != synchrony.voters:
        synchrony.voters = synchrony.log.voters = voters
    if synchrony.primary.opened and synchrony.primary.voters != voters:
        synchrony.primary.voters, synchrony.primary.pending_voters = voters, ()
    elif synchrony.primary.opened and synchrony.primary.pending_voters:
        synchrony.primary.pending_voters = ()


def take_operations_in_snapshot(core):
    """Remove this daemon's operations that the installed snapshot contains from the outbox; return their outcomes."""
    incarnation, number = core.ledger.sessions.get(core.synchrony.name, (0, 0))
    if incarnation != core.synchrony.local_member.incarnation:
        return []
    decided = [n for n in core.synchrony.outbox if n <= number]
    for decided_number in decided:
        remove_from_outbox(core.synchrony, decided_number)
    return [OperationDecided(n, None) for n in decided]


def pending_ballots(core):
    """Return the encoded ballots for singleton roles, and a rules upgrade, that this daemon has yet to submit."""
    synchrony, ledger = core.synchrony, core.ledger
    if not synchrony.primary.opened or synchrony.recovery or synchrony.draining:
        return []
    payloads = []
    for role, ballot_round, candidate in singleton_roles.pending_ballots(ledger, synchrony.local_member):
        ballot_key = (synchrony.configuration.id.epoch << 20) + ballot_round
        if core.cast_ballots.get(role) != ballot_key:
            core.cast_ballots[role] = ballot_key
            payloads.append(encode(Ballot(role, ballot_round, candidate)))
    return payloads + rules_upgrade(core)


def rules_upgrade(core):
    """Return the encoded upgrade of the ledger's rules to the newest version that can be put in force."""
    synchrony, ledger = core.synchrony, core.ledger
    is_up_to_date = ledger.rules >= PROTOCOL_REVISION
    if is_up_to_date or not singleton_roles.fencing_token(ledger, "ticks", synchrony.local_member):
        return []
    version = supported_rules(core)
    if ledger.rules >= version or core.rules_upgraded_in == (synchrony.configuration.id, version):
        return []
    core.rules_upgraded_in = (synchrony.configuration.id, version)
    return [encode(Rules(version))]


def supported_rules(core):
    """Return the newest version of the ledger's rules that every member supports; 0 if a member's is not known.

    Versions after `TASK_RULES` change the meaning of operations that earlier builds can decode, so they wait until all
    voters are members: one that is away might return with an earlier build and decide otherwise.
    """
    synchrony = core.synchrony
    endpoints = {p.endpoint.member: p.endpoint for p in synchrony.peers.values()}
    endpoints[synchrony.local_member] = synchrony.endpoint
    members = synchrony.configuration.members
    if any(member not in endpoints for member in members):
        return 0
    version = min(PROTOCOL_REVISION, *(endpoints[member].protocol_revision for member in members))
    are_voters_present = set(core.ledger.voters) <= {member.name for member in members}
    return version if are_voters_present else min(version, TASK_RULES)


def holds_lease(core, now_ms):
    """Return whether this daemon holds a valid lease at that time."""
    return leases.holds_lease(core.synchrony, now_ms)
