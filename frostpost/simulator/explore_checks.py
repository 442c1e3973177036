"""Invariants that must hold in every world that the model checker reaches."""

from itertools import combinations

from msgspec import Struct, structs

from frostpost.ledger.apply import apply as apply_entry
from frostpost.ledger.apply import encode as encode_ledger
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony import leases as protocol_leases
from frostpost.virtual_synchrony.durable_log import replay
from frostpost.virtual_synchrony.events import EntryApplied, SetVoters, SnapshotInstalled
from frostpost.virtual_synchrony.quorum import is_majority

from .explore_state import OpenedPrimary, bootstrap_voters


class Violation(Struct, frozen=True):
    """A violated invariant.

    - order: all replicas apply the same sequence of entries.
    - kept: a new primary starts after all committed entries.
    - synced: a committed entry is on the synced disks of a majority of the voters.
    - state: a replica's ledger is the result of the committed sequence.
    - epoch: at most one primary is opened in an epoch.
    - quorum: a primary is opened by a majority of the voters.
    - voters: majorities before and after a change of voters intersect.
    - log: a ready replica has logged everything that it has applied.
    - lease: no lease of an older configuration is valid once a newer leader counts it as expired.
    - progress: once all faults have ended, all replicas serve and all requests are decided.
    - failure: a step raised an exception.
    """

    rule: str
    text: str


def add_violation(world, rule, text):
    """Record that an invariant is violated in this world."""
    world.violations.append(Violation(rule, text))


def check_notifications(world, replica, notifications):
    """Check the notifications of one step, and the replica's state if the step applied anything."""
    applied = False
    for notification in notifications:
        if isinstance(notification, EntryApplied):
            applied = True
            check_applied_entry(world, replica, notification.entry)
        elif isinstance(notification, SnapshotInstalled):
            applied = True
    if applied:
        check_ledger_state(world, replica)
        check_log_length(world, replica)


def ledger_after(entries):
    """Return the ledger that results from these entries."""
    ledger = Ledger()
    for entry in entries:
        ledger, _ = apply_entry(ledger, entry)
    return ledger


def voters_after(world, entries):
    """Return the voters in force after these entries."""
    return ledger_after(entries).voters or bootstrap_voters(world.scenario)


def check_applied_entry(world, replica, entry):
    """Check an applied entry against the committed sequence, and append it if it is new."""
    sequence = world.history.committed
    if entry.index <= len(sequence):
        if sequence[entry.index - 1] != entry:
            rule = "kept" if entry.ordinal == 1 else "order"
            add_violation(
                world,
                rule,
                f"{replica.name} applied {describe(entry)} where {describe(sequence[entry.index - 1])} was applied",
            )
        return
    if entry.index != len(sequence) + 1:
        return add_violation(world, "order", f"{replica.name} applied {describe(entry)} after {len(sequence)} entries")
    before = voters_after(world, sequence)
    check_synced_by_majority(world, entry, before)
    world.history = structs.replace(world.history, committed=(*sequence, entry))
    if entry.ordinal == 1:
        check_opened_primary(world, replica, entry, before)
    if entry.payload.find(SetVoters.__struct_config__.tag.encode()) >= 0:
        check_majorities_intersect(world, before, voters_after(world, world.history.committed))


def describe(entry):
    """Return an entry's index, ordinal and configuration as text."""
    configuration_id = entry.configuration
    return (
        f"entry {entry.index} ({entry.ordinal} of "
        f"{configuration_id.epoch}/{configuration_id.proposer}.{configuration_id.incarnation})"
    )


def check_synced_by_majority(world, entry, voters):
    """Check that a majority of the voters has synced a committed entry; lost disks count as having held it."""
    holders = [
        name for name in voters if name in world.history.wiped_replicas or is_on_disk(world.replicas[name], entry)
    ]
    if not is_majority(voters, holders):
        add_violation(world, "synced", f"{describe(entry)} is committed and stands on the disks of {holders} alone")


def is_on_disk(replica, entry):
    """Return whether an entry would survive a power loss of this replica."""
    log = replay(replica.disk.synced)
    if log.snapshot_index >= entry.index:
        return True
    return log.length >= entry.index and log.entries[entry.index - log.snapshot_index - 1] == entry


def check_opened_primary(world, replica, entry, voters):
    """Check that a primary is the only one of its epoch and was synced by a majority; add it to the history."""
    configuration_id, history = entry.configuration, world.history
    for other in history.opened_primaries:
        if other.id.epoch == configuration_id.epoch:
            add_violation(world, "epoch", f"{other.id} and {configuration_id} were both opened")
    holders = [
        v
        for v in voters
        if v in history.wiped_replicas or replay(world.replicas[v].disk.synced).primary >= configuration_id
    ]
    if not is_majority(voters, holders):
        add_violation(
            world, "quorum", f"{configuration_id} was opened while only {holders} of {list(voters)} had synced it"
        )
    leader = world.replicas.get(replica.synchrony.configuration.sequencer, replica)
    if leader.core is None or leader.synchrony.configuration.id != configuration_id:
        leader = replica
    world.history = structs.replace(
        history,
        opened_primaries=(
            *history.opened_primaries,
            OpenedPrimary(configuration_id, leader.synchrony.installed_ms),
        ),
    )


def minimal_majorities(voters):
    """Return the smallest majorities of a set of voters."""
    return combinations(voters, len(voters) // 2 + 1)


def check_majorities_intersect(world, before, after):
    """Check that every majority of the voters before a change shares a member with every majority after it."""
    for left in minimal_majorities(before):
        for right in minimal_majorities(after):
            if not set(left) & set(right):
                return add_violation(world, "voters", f"{before} became {after}: {left} and {right} share nobody")


def check_ledger_state(world, replica):
    """Check that a replica's ledger is the result of the committed sequence."""
    index, sequence = replica.synchrony.applied, world.history.committed
    if index <= len(sequence) and encode_ledger(replica.core.ledger) != encode_ledger(ledger_after(sequence[:index])):
        add_violation(world, "state", f"{replica.name} holds another ledger at {index} than the sequence gives")


def check_log_length(world, replica):
    """Check that a ready replica has logged everything that it has applied."""
    synchrony = replica.synchrony
    if synchrony.primary.ready and synchrony.log.length < synchrony.applied:
        add_violation(
            world,
            "log",
            f"{replica.name} is ready, has applied {synchrony.applied} and logged {synchrony.log.length}",
        )


def check_restarted_replica(world, replica):
    """Check that the entries that a replica applies at its start were committed."""
    if replica.synchrony.applied > len(world.history.committed):
        return add_violation(world, "order", f"{replica.name} starts with {replica.synchrony.applied} settled entries")
    check_ledger_state(world, replica)


def check_leases(world):
    """Check that no lease of an older configuration is valid once a newer leader counts it as expired."""
    for replica in world.replicas.values():
        if replica.core is None or replica.frozen or not protocol_leases.holds_lease(replica.synchrony, world.now_ms):
            continue
        configuration_id = replica.synchrony.configuration.id
        for other in world.history.opened_primaries:
            expiry_ms = other.installed_ms + replica.synchrony.bounds.lease_ms
            if other.id > configuration_id and world.now_ms >= expiry_ms:
                add_violation(
                    world,
                    "lease",
                    f"{replica.name} holds a lease of {configuration_id} at {world.now_ms}, "
                    f"{other.id} from {expiry_ms}",
                )


def all_replicas_serve(world):
    """Return whether all replicas serve in one configuration and no request is undecided."""
    configurations = set()
    for replica in world.replicas.values():
        if replica.core is None or replica.frozen:
            return False
        synchrony = replica.synchrony
        if synchrony.recovery or synchrony.proposal or not synchrony.primary.opened or not synchrony.primary.ready:
            return False
        if synchrony.outbox or synchrony.applied != len(world.history.committed):
            return False
        if world.scenario.timed and not protocol_leases.holds_lease(synchrony, world.now_ms):
            return False
        configurations.add(synchrony.configuration)
    return len(configurations) == 1 and len(next(iter(configurations)).members) == len(world.replicas)


def is_obsolete(world, item):
    """Return whether a queued item can no longer have any effect, since the state that it refers to is past."""
    replica = world.replicas[item.target]
    if replica.core is None:
        return True
    synchrony = replica.synchrony
    kind = item.label[2]
    if kind == "Sync":
        return item.incarnation != synchrony.local_member.incarnation
    configuration_id = getattr(item.body, "id", None)
    if configuration_id is None or kind == "ProposeRejection":
        return False
    recovering = synchrony.recovery.id if synchrony.recovery else None
    proposed = synchrony.proposal.id if synchrony.proposal else None
    if kind == "RecoveryExchange":
        return configuration_id != proposed
    if kind == "RecoveryComplete":
        return configuration_id not in (proposed, synchrony.configuration.id)
    if kind == "ProposeRequest":
        return False
    return configuration_id <= synchrony.promised and configuration_id not in (recovering, synchrony.configuration.id)
