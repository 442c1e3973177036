"""The moves, other than `Next`, that are enabled in a world within its scenario's budget."""

from itertools import combinations

from frostpost.virtual_synchrony.members import member_names
from frostpost.virtual_synchrony.quorum import is_majority

from .explore_move_types import (
    BlockLinks,
    ChangeVoters,
    Crash,
    Delay,
    Deliver,
    Drop,
    FireTimers,
    Freeze,
    Propose,
    Restart,
    RestoreLinks,
    Submit,
    TakeSnapshot,
    Thaw,
    Wipe,
)

MIN_VOTERS = 3
HEARTBEAT_KINDS = ("Heartbeat", "DiscoveryUpdate")


def running_replicas(world):
    """Return the replicas that are up and not frozen."""
    return [r for r in world.replicas.values() if r.core is not None and not r.frozen]


def queued_labels(world):
    """Return the labels of queued items, without messages that only the failure detector reads."""
    return list(dict.fromkeys(item.label for item in world.queue if item.label[2] not in HEARTBEAT_KINDS))


def deliver_moves(world):
    """Any queued item may overtake the head of the queue."""
    head = world.queue[0].label if world.queue else None
    return [Deliver(*label) for label in queued_labels(world) if label != head]


def drop_moves(world):
    """Any message may be lost."""
    return [Drop(*label) for label in queued_labels(world) if label[0] != "disk"]


def delay_moves(world):
    """Any queued item may be delayed."""
    return [Delay(*label) for label in queued_labels(world)]


def propose_moves(world):
    """Any running replica may propose any set of members that includes itself."""
    moves = []
    for replica in running_replicas(world):
        others = [n for n in world.replicas if n != replica.name]
        for count in range(len(others), -1, -1):
            for chosen in combinations(others, count):
                moves.append(Propose(replica.name, tuple(sorted((replica.name, *chosen)))))
    return moves


def fire_timer_moves(world):
    """The timers of any running replica may fire."""
    return [FireTimers(r.name) for r in running_replicas(world)]


def crash_moves(world):
    """Any machine may lose power, with all of its unsynced records surviving or none."""
    moves = []
    for replica in world.replicas.values():
        if replica.core is not None:
            surviving_counts = {0, len(replica.disk.pending)}
            moves += [Crash(replica.name, count) for count in sorted(surviving_counts)]
    return moves


def wipe_moves(world):
    """A disk may be lost while all other replicas are complete, in one configuration and a sufficient majority.

    They must hold a majority of their current voters and of every set of voters that was requested.
    """
    moves = []
    for replica in world.replicas.values():
        others = [r for r in world.replicas.values() if r.name != replica.name]
        if replica.core is None or not all(is_complete(r) for r in others):
            continue
        if len({r.synchrony.configuration.id for r in others}) > 1:
            continue
        present = [r.name for r in others]
        voter_sets = [r.core.ledger.voters for r in others] + list(world.history.requested_voters)
        if all(is_majority(voters, present) for voters in voter_sets):
            moves.append(Wipe(replica.name))
    return moves


def is_complete(replica):
    """Return whether a replica has synced everything that the open primary has committed."""
    if replica.core is None:
        return False
    primary = replica.synchrony.primary
    return primary.opened and primary.ready and not replica.synchrony.recovery


def restart_moves(world):
    """Any stopped replica may restart."""
    return [Restart(r.name) for r in world.replicas.values() if r.core is None]


def submit_moves(world):
    """Any running replica may submit an operation."""
    return [Submit(r.name) for r in running_replicas(world)]


def change_voters_moves(world):
    """A replica in an opened primary may request the changes that daemons request themselves, one voter at a time.

    A complete member may be added if all voters are members. A voter may be removed if at least `MIN_VOTERS` remain, or
    if it is not a member and another replica can replace it. A majority of the resulting voters must be complete
    members.
    """
    moves = []
    for replica in running_replicas(world):
        voters, present = replica.core.ledger.voters, member_names(replica.synchrony.configuration)
        if not replica.synchrony.primary.opened or not voters:
            continue
        members = [r.name for r in world.replicas.values() if is_complete(r) and r.name in present]
        candidates = [name for name in members if name not in voters]
        absent = [v for v in voters if v not in present]
        removable = voters if len(voters) > MIN_VOTERS else absent if candidates else ()
        voter_sets = [tuple(v for v in voters if v != removed) for removed in removable]
        voter_sets += [tuple(sorted((*voters, added))) for added in candidates if not absent]
        moves += [ChangeVoters(replica.name, after) for after in voter_sets if is_majority(after, members)]
    return moves


def snapshot_moves(world):
    """Any running replica that has applied entries since its last snapshot may rewrite its log."""
    return [
        TakeSnapshot(r.name) for r in running_replicas(world) if r.synchrony.applied > r.synchrony.log.snapshot_index
    ]


def block_link_moves(world):
    """The links between any replica and all others may be blocked, in both directions or in one."""
    moves = []
    for name in world.replicas:
        others = tuple(n for n in world.replicas if n != name)
        moves += [BlockLinks(name, others, others), BlockLinks(name, others, ()), BlockLinks(name, (), others)]
    return moves


def restore_link_moves(world):
    """Blocked links may be restored."""
    return [RestoreLinks()] if world.blocked_links else []


def freeze_moves(world):
    """Any running process may be suspended."""
    return [Freeze(r.name) for r in running_replicas(world)]


def thaw_moves(world):
    """Any suspended process may be resumed."""
    return [Thaw(r.name) for r in world.replicas.values() if r.frozen]


MOVES_BY_KIND = {
    "deliver": deliver_moves,
    "drop": drop_moves,
    "delay": delay_moves,
    "propose": propose_moves,
    "remind": fire_timer_moves,
    "crash": crash_moves,
    "wipe": wipe_moves,
    "restart": restart_moves,
    "ask": submit_moves,
    "revote": change_voters_moves,
    "snapshot": snapshot_moves,
    "cut": block_link_moves,
    "heal": restore_link_moves,
    "freeze": freeze_moves,
    "thaw": thaw_moves,
}
KINDS = tuple(MOVES_BY_KIND)


def enabled_moves(world, kinds=KINDS):
    """Return all moves of these kinds that the remaining budget allows."""
    budget = world.scenario.budget
    return [
        m for kind in kinds if world.used_budget.get(kind, 0) < budget.get(kind, 0) for m in MOVES_BY_KIND[kind](world)
    ]
