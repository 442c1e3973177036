"""Which moves beside `Next` a world allows, within its scenario's budget."""

from itertools import combinations

from frostpost.virtual_synchrony.members import member_names
from frostpost.virtual_synchrony.quorum import is_majority

from .explore_move_types import (
    Ask,
    Crash,
    Cut,
    Delay,
    Deliver,
    Drop,
    Freeze,
    Heal,
    Propose,
    Remind,
    Restart,
    Revote,
    TakeSnapshot,
    Thaw,
    Wipe,
)

LEAST_VOTERS = 3
QUIET = ("Heartbeat", "DiscoveryUpdate")


def up(world):
    """Replicas that run."""
    return [r for r in world.replicas.values() if r.core is not None and not r.frozen]


def labels(world):
    """Labels of what is in flight, but for what only the failure detector reads."""
    return list(dict.fromkeys(item.label for item in world.queue if item.label[2] not in QUIET))


def delivers(world):
    """Anything may overtake the head of the queue."""
    head = world.queue[0].label if world.queue else None
    return [Deliver(*label) for label in labels(world) if label != head]


def drops(world):
    """Any message may be lost."""
    return [Drop(*label) for label in labels(world) if label[0] != "disk"]


def delays(world):
    """Anything may be late."""
    return [Delay(*label) for label in labels(world)]


def proposes(world):
    """Any member may propose any set that it is in."""
    found = []
    for replica in up(world):
        others = [n for n in world.replicas if n != replica.name]
        for many in range(len(others), -1, -1):
            for chosen in combinations(others, many):
                found.append(Propose(replica.name, tuple(sorted((replica.name, *chosen)))))
    return found


def reminds(world):
    """Anyone may send again what it waits for."""
    return [Remind(r.name) for r in up(world)]


def crashes(world):
    """Any machine may lose power, with all of what wasn't synced or without it."""
    found = []
    for replica in world.replicas.values():
        if replica.core is not None:
            kept = {0, len(replica.disk.pending)}
            found += [Crash(replica.name, many) for many in sorted(kept)]
    return found


def wipes(world):
    """A disk may be lost while all others are whole together and hold a majority of all voters that were asked for."""
    found = []
    for replica in world.replicas.values():
        others = [r for r in world.replicas.values() if r.name != replica.name]
        if replica.core is None or not all(whole(r) for r in others):
            continue
        if len({r.synchrony.configuration.id for r in others}) > 1:
            continue
        present = [r.name for r in others]
        sets = [r.core.ledger.voters for r in others] + list(world.history.requested_voters)
        if all(is_majority(voters, present) for voters in sets):
            found.append(Wipe(replica.name))
    return found


def whole(replica):
    """Whether a replica holds all that the open primary has committed, synced."""
    if replica.core is None:
        return False
    primary = replica.synchrony.primary
    return primary.opened and primary.ready and not replica.synchrony.recovery


def restarts(world):
    """Whoever is down may start again."""
    return [Restart(r.name) for r in world.replicas.values() if r.core is None]


def asks(world):
    """Anyone may ask for an operation."""
    return [Ask(r.name) for r in up(world)]


def revotes(world):
    """An opened replica may ask for the changes of voters that daemons make by themselves, one voter at a time.

    One more, if it is whole and all voters are members; one less, if enough are left, or if that voter is no member and
    another replica is there to take its place. A majority of the voters after the change must be whole members.
    """
    found = []
    for replica in up(world):
        voters, present = replica.core.ledger.voters, member_names(replica.synchrony.configuration)
        if not replica.synchrony.primary.opened or not voters:
            continue
        members = [r.name for r in world.replicas.values() if whole(r) and r.name in present]
        fresh = [name for name in members if name not in voters]
        away = [v for v in voters if v not in present]
        gone = voters if len(voters) > LEAST_VOTERS else away if fresh else ()
        wanted = [tuple(v for v in voters if v != one) for one in gone]
        wanted += [tuple(sorted((*voters, one))) for one in fresh if not away]
        found += [Revote(replica.name, after) for after in wanted if is_majority(after, members)]
    return found


def snapshots(world):
    """Anyone may rewrite its log."""
    return [TakeSnapshot(r.name) for r in up(world) if r.synchrony.applied > r.synchrony.log.snapshot_index]


def cuts(world):
    """Anyone may be cut off from all others, in both directions or in one."""
    found = []
    for name in world.replicas:
        others = tuple(n for n in world.replicas if n != name)
        found += [Cut(name, others, others), Cut(name, others, ()), Cut(name, (), others)]
    return found


def heals(world):
    """Cuts may end."""
    return [Heal()] if world.cuts else []


def freezes(world):
    """A process may stand still."""
    return [Freeze(r.name) for r in up(world)]


def thaws(world):
    """A process that stands still may run on."""
    return [Thaw(r.name) for r in world.replicas.values() if r.frozen]


OPTIONS = {
    "deliver": delivers,
    "drop": drops,
    "delay": delays,
    "propose": proposes,
    "remind": reminds,
    "crash": crashes,
    "wipe": wipes,
    "restart": restarts,
    "ask": asks,
    "revote": revotes,
    "snapshot": snapshots,
    "cut": cuts,
    "heal": heals,
    "freeze": freezes,
    "thaw": thaws,
}
KINDS = tuple(OPTIONS)


def options(world, kinds=KINDS):
    """All moves that the budget still allows."""
    budget = world.scenario.budget
    return [m for kind in kinds if world.spent.get(kind, 0) < budget.get(kind, 0) for m in OPTIONS[kind](world)]
