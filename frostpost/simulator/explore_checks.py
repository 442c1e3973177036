"""What must hold in every world that the model checker reaches."""

from itertools import combinations

from msgspec import Struct, structs

from frostpost.ledger.apply import apply as apply_entry
from frostpost.ledger.apply import encode as encode_ledger
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony import leases as protocol_leases
from frostpost.virtual_synchrony.durable_log import replay
from frostpost.virtual_synchrony.events import EntryApplied, SetVoters, SnapshotInstalled
from frostpost.virtual_synchrony.quorum import is_majority

from .explore_state import Opened, first_voters


class Broken(Struct, frozen=True):
    """An invariant that doesn't hold.

    - order: replicas apply one sequence of entries.
    - kept: a new primary begins after all that was committed.
    - synced: what is committed stands on the synced disks of a majority of voters.
    - state: a replica's ledger is that of the sequence.
    - epoch: one primary is opened in an epoch.
    - quorum: a primary is opened by a majority of the voters.
    - voters: majorities of the sets before and after a change meet.
    - log: a replica that counts as ready has logged what it has applied.
    - lease: no older lease runs once the leader counts older ones as over.
    - progress: once faults have ended, all replicas serve and all requests are decided.
    - failure: a step raised an error.
    """

    rule: str
    text: str


def say(world, rule, text):
    """Note that a rule doesn't hold."""
    world.broken.append(Broken(rule, text))


def answers(world, replica, told):
    """Check what a step told its daemon."""
    applied = False
    for answer in told:
        if isinstance(answer, EntryApplied):
            applied = True
            committed(world, replica, answer.entry)
        elif isinstance(answer, SnapshotInstalled):
            applied = True
    if applied:
        same_state(world, replica)
        no_hole(world, replica)


def folded(entries):
    """The ledger after these entries."""
    ledger = Ledger()
    for entry in entries:
        ledger, _ = apply_entry(ledger, entry)
    return ledger


def voters_after(world, entries):
    """The voters as these entries leave them."""
    return folded(entries).voters or first_voters(world.scenario)


def committed(world, replica, entry):
    """A replica has applied an entry."""
    sequence = world.history.committed
    if entry.index <= len(sequence):
        if sequence[entry.index - 1] != entry:
            rule = "kept" if entry.ordinal == 1 else "order"
            say(
                world,
                rule,
                f"{replica.name} applied {label(entry)} where {label(sequence[entry.index - 1])} was applied",
            )
        return
    if entry.index != len(sequence) + 1:
        return say(world, "order", f"{replica.name} applied {label(entry)} after {len(sequence)} entries")
    before = voters_after(world, sequence)
    stands_on_disks(world, entry, before)
    world.history = structs.replace(world.history, committed=(*sequence, entry))
    if entry.ordinal == 1:
        opened(world, replica, entry, before)
    if entry.payload.find(SetVoters.__struct_config__.tag.encode()) >= 0:
        meet(world, before, voters_after(world, world.history.committed))


def label(entry):
    """An entry in words."""
    id = entry.configuration
    return f"entry {entry.index} ({entry.ordinal} of {id.epoch}/{id.proposer}.{id.incarnation})"


def stands_on_disks(world, entry, voters):
    """What is committed is synced by a majority of voters; a disk that was lost since may have held it."""
    holders = [name for name in voters if name in world.history.wiped or on_disk(world.replicas[name], entry)]
    if not is_majority(voters, holders):
        say(world, "synced", f"{label(entry)} is committed and stands on the disks of {holders} alone")


def on_disk(replica, entry):
    """Whether an entry outlasts a loss of power there."""
    log = replay(replica.disk.synced)
    if log.snapshot_index >= entry.index:
        return True
    return log.length >= entry.index and log.entries[entry.index - log.snapshot_index - 1] == entry


def opened(world, replica, entry, voters):
    """A primary is opened."""
    id, history = entry.configuration, world.history
    for other in history.opened:
        if other.id.epoch == id.epoch:
            say(world, "epoch", f"{other.id} and {id} were both opened")
    holders = [v for v in voters if v in history.wiped or replay(world.replicas[v].disk.synced).primary >= id]
    if not is_majority(voters, holders):
        say(world, "quorum", f"{id} was opened while only {holders} of {list(voters)} had synced it")
    leader = world.replicas.get(replica.synchrony.configuration.sequencer, replica)
    if leader.core is None or leader.synchrony.configuration.id != id:
        leader = replica
    world.history = structs.replace(history, opened=(*history.opened, Opened(id, leader.synchrony.installed_ms)))


def majorities_of(voters):
    """The smallest majorities of a set."""
    return combinations(voters, len(voters) // 2 + 1)


def meet(world, before, after):
    """Any majority of the voters before a change shares a member with any majority after it."""
    for left in majorities_of(before):
        for right in majorities_of(after):
            if not set(left) & set(right):
                return say(world, "voters", f"{before} became {after}: {left} and {right} share nobody")


def same_state(world, replica):
    """A replica's ledger is that of the committed sequence."""
    index, sequence = replica.synchrony.applied, world.history.committed
    if index <= len(sequence) and encode_ledger(replica.core.ledger) != encode_ledger(folded(sequence[:index])):
        say(world, "state", f"{replica.name} holds another ledger at {index} than the sequence gives")


def no_hole(world, replica):
    """A replica that counts as ready has all that it has applied in its log."""
    synchrony = replica.synchrony
    if synchrony.primary.ready and synchrony.log.length < synchrony.applied:
        say(world, "log", f"{replica.name} is ready, has applied {synchrony.applied} and logged {synchrony.log.length}")


def restarted(world, replica):
    """What a replica believes to be settled when it starts was committed."""
    if replica.synchrony.applied > len(world.history.committed):
        return say(world, "order", f"{replica.name} starts with {replica.synchrony.applied} settled entries")
    same_state(world, replica)


def leases(world):
    """Once a leader counts leases of older configurations as over, none runs."""
    for replica in world.replicas.values():
        if replica.core is None or replica.frozen or not protocol_leases.holds_lease(replica.synchrony, world.now_ms):
            continue
        id = replica.synchrony.configuration.id
        for other in world.history.opened:
            over_ms = other.installed_ms + replica.synchrony.bounds.lease_ms
            if other.id > id and world.now_ms >= over_ms:
                say(
                    world, "lease", f"{replica.name} holds a lease of {id} at {world.now_ms}, {other.id} from {over_ms}"
                )


def serves(world):
    """Whether all replicas serve as one and nothing asked for is left open."""
    ids = set()
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
        ids.add(synchrony.configuration)
    return len(ids) == 1 and len(next(iter(ids)).members) == len(world.replicas)


def without_effect(world, item):
    """Whether a message can have no effect any more, whatever comes: the state it belongs to is past."""
    replica = world.replicas[item.target]
    if replica.core is None:
        return True
    synchrony = replica.synchrony
    kind = item.label[2]
    if kind == "Sync":
        return item.incarnation != synchrony.local_member.incarnation
    id = getattr(item.body, "id", None)
    if id is None or kind == "ProposeRejection":
        return False
    recovering = synchrony.recovery.id if synchrony.recovery else None
    proposed = synchrony.proposal.id if synchrony.proposal else None
    if kind == "RecoveryExchange":
        return id != proposed
    if kind == "RecoveryComplete":
        return id not in (proposed, synchrony.configuration.id)
    if kind == "ProposeRequest":
        return False
    return id <= synchrony.promised and id not in (recovering, synchrony.configuration.id)
