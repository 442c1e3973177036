"""Moves of the model checker: what may happen next in a world, each made by the product's own steps."""

from msgspec import structs

from frostpost.daemon import snapshotting
from frostpost.ledger.operations import Look
from frostpost.virtual_synchrony import membership, step
from frostpost.virtual_synchrony.events import OperationSubmitted, Output, RewriteLog, SetVoters

from . import explore_checks as checks
from .explore_hash import encode
from .explore_move_types import (
    Ask,
    Crash,
    Cut,
    Delay,
    Deliver,
    Drop,
    Freeze,
    Heal,
    Next,
    Propose,
    Remind,
    Restart,
    Revote,
    TakeSnapshot,
    Thaw,
    Wipe,
)
from .explore_state import Disk, copy_world, own
from .explore_steps import BOUNDS, effects, greet, handle, start, step_replica, stop, tick

TICK_MS = BOUNDS.heartbeat_ms
PAYLOAD = encode(Look())


def kind_of(move):
    """The word under which a budget counts a move."""
    return type(move).__struct_config__.tag


def make(world, move):
    """The world after a move; what it broke stands in `broken`. Raises nothing: a step that fails breaks `failure`."""
    world = copy_world(world)
    kind = kind_of(move)
    if kind != "next":
        world.spent[kind] = world.spent.get(kind, 0) + 1
    try:
        MAKERS[type(move)](world, move)
        world.queue = tuple(item for item in world.queue if not checks.without_effect(world, item))
    except (KeyError, IndexError, AttributeError, TypeError, ValueError, AssertionError) as error:
        world.broken.append(checks.Broken("failure", f"{type(error).__name__}: {error}"))
    if world.scenario.timed:
        checks.leases(world)
    return world


def next_once(world):
    """The head of the queue is handled, or all timers fire."""
    if world.queue:
        item, world.queue = world.queue[0], world.queue[1:]
        if world.replicas[item.target].frozen:
            world.late += (item,)
        else:
            handle(world, item)
        return
    frozen = {r.name for r in world.replicas.values() if r.frozen}
    world.queue = tuple(item for item in world.late if item.target not in frozen)
    world.late = tuple(item for item in world.late if item.target in frozen)
    running = [r.name for r in world.replicas.values() if r.core is not None and not r.frozen]
    if world.scenario.timed:
        world.now_ms += TICK_MS
    for name in running:
        tick(world, name)


def next_(world, move):
    """See `Next`."""
    for _ in range(move.times):
        next_once(world)


def found(world, move):
    """The first item in flight with a move's label, and the rest; nothing if there is none."""
    label = (move.sender, move.target, move.kind)
    for at, item in enumerate(world.queue):
        if item.label == label:
            return item, world.queue[:at] + world.queue[at + 1 :]
    return None, world.queue


def deliver(world, move):
    """See `Deliver`."""
    if world.replicas[move.target].frozen:
        return
    item, world.queue = found(world, move)
    if item is not None:
        handle(world, item)


def drop(world, move):
    """See `Drop`."""
    if move.kind != "Sync":
        _, world.queue = found(world, move)


def delay(world, move):
    """See `Delay`."""
    item, world.queue = found(world, move)
    if item is not None:
        world.late += (item,)


def propose(world, move):
    """See `Propose`; a proposal of its own that is under way is given up, as a member does that gets no answer."""
    replica = own(world, move.name)
    if replica.core is None:
        return
    synchrony = replica.core.synchrony
    known = {p.endpoint.member.name: p.endpoint.member for p in synchrony.peers.values()} | {
        synchrony.name: synchrony.local_member
    }
    out = Output()
    synchrony.proposal = None
    membership.propose(synchrony, out, tuple(known[n] for n in move.members if n in known))
    step.deliver_to_self(synchrony, out)
    effects(world, replica, out)
    checks.answers(world, replica, out.notifications)


def remind(world, move):
    """See `Remind`."""
    if world.replicas[move.name].core is not None:
        tick(world, move.name)


def crash(world, move):
    """See `Crash`."""
    replica = own(world, move.name)
    if replica.core is None:
        return
    disk = replica.disk
    synced = disk.synced
    for record in disk.pending[: move.kept]:
        synced = tuple(record.records) if isinstance(record, RewriteLog) else (*synced, record)
    replica.disk = Disk(synced, boots=disk.boots)
    stop(world, replica)


def wipe(world, move):
    """See `Wipe`."""
    replica = own(world, move.name)
    if replica.core is None:
        return
    replica.disk = Disk(boots=replica.disk.boots)
    world.history = structs.replace(world.history, wiped=world.history.wiped | {move.name})
    stop(world, replica)


def restart(world, move):
    """See `Restart`."""
    replica = own(world, move.name)
    if replica.core is None:
        start(world, replica)
        greet(world, move.name)


def ask(world, move):
    """See `Ask`."""
    if world.replicas[move.name].core is not None:
        step_replica(world, move.name, OperationSubmitted(world.now_ms, PAYLOAD))


def revote(world, move):
    """See `Revote`."""
    replica = world.replicas[move.name]
    if replica.core is None:
        return
    history = world.history
    world.history = structs.replace(history, requested_voters=(*history.requested_voters, move.after))
    request = SetVoters(replica.synchrony.configuration.id, replica.core.ledger.voters, move.after)
    step_replica(world, move.name, OperationSubmitted(world.now_ms, encode(request)))


def take_snapshot(world, move):
    """See `TakeSnapshot`."""
    replica = own(world, move.name)
    if replica.core is None:
        return
    synchrony, out = replica.core.synchrony, Output()
    bounds = synchrony.bounds
    synchrony.bounds = structs.replace(bounds, rewrite_entries=1)
    snapshotting.compact_log(replica.core, out)
    synchrony.bounds = bounds
    effects(world, replica, out)


def cut(world, move):
    """See `Cut`; what is already on its way over a cut link is lost too."""
    world.cuts |= {(move.name, n) for n in move.to} | {(n, move.name) for n in move.from_}
    world.queue = tuple(item for item in world.queue if item.label[:2] not in world.cuts)
    world.late = tuple(item for item in world.late if item.label[:2] not in world.cuts)


def heal(world, move):
    """See `Heal`; without a clock all hear of each other at once, as after a start."""
    world.cuts = frozenset()
    for name in [r.name for r in world.replicas.values() if r.core is not None]:
        greet(world, name)


def freeze(world, move):
    """See `Freeze`."""
    if world.replicas[move.name].core is not None:
        own(world, move.name).frozen = True


def thaw(world, move):
    """See `Thaw`."""
    own(world, move.name).frozen = False


MAKERS = {
    Next: next_,
    Deliver: deliver,
    Drop: drop,
    Delay: delay,
    Propose: propose,
    Remind: remind,
    Crash: crash,
    Wipe: wipe,
    Restart: restart,
    Ask: ask,
    Revote: revote,
    TakeSnapshot: take_snapshot,
    Cut: cut,
    Heal: heal,
    Freeze: freeze,
    Thaw: thaw,
}
