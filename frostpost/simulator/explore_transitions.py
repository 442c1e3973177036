"""Transitions of the model checker: the effect of each move, made by the product's own step functions."""

from msgspec import structs

from frostpost.daemon import snapshotting
from frostpost.ledger.operations import Look
from frostpost.virtual_synchrony import membership, step
from frostpost.virtual_synchrony.events import OperationSubmitted, Output, RewriteLog, SetVoters

from . import explore_checks as checks
from .explore_hash import encode
from .explore_move_types import (
    BlockLinks,
    ChangeVoters,
    Crash,
    Delay,
    Deliver,
    Drop,
    FireTimers,
    Freeze,
    Next,
    Propose,
    Restart,
    RestoreLinks,
    Submit,
    TakeSnapshot,
    Thaw,
    Wipe,
)
from .explore_state import Disk, copy_world, mutable_replica
from .explore_steps import (
    BOUNDS,
    apply_output,
    exchange_discovery,
    handle_item,
    start_replica,
    step_replica,
    stop_replica,
    tick_replica,
)

TICK_MS = BOUNDS.heartbeat_ms
PAYLOAD = encode(Look())


def kind_of(move):
    """Return the kind by which budgets count a move."""
    return type(move).__struct_config__.tag


def apply_move(world, move):
    """Return the world after a move, with the invariants that it violates; an exception violates `failure`."""
    world = copy_world(world)
    kind = kind_of(move)
    if kind != "next":
        world.used_budget[kind] = world.used_budget.get(kind, 0) + 1
    try:
        TRANSITIONS[type(move)](world, move)
        world.queue = tuple(item for item in world.queue if not checks.is_obsolete(world, item))
    except (KeyError, IndexError, AttributeError, TypeError, ValueError, AssertionError) as error:
        world.violations.append(checks.Violation("failure", f"{type(error).__name__}: {error}"))
    if world.scenario.timed:
        checks.check_leases(world)
    return world


def advance(world):
    """Handle the head of the queue, or run all timers if the queue is empty."""
    if world.queue:
        item, world.queue = world.queue[0], world.queue[1:]
        if world.replicas[item.target].frozen:
            world.delayed += (item,)
        else:
            handle_item(world, item)
        return
    frozen = {r.name for r in world.replicas.values() if r.frozen}
    world.queue = tuple(item for item in world.delayed if item.target not in frozen)
    world.delayed = tuple(item for item in world.delayed if item.target in frozen)
    running = [r.name for r in world.replicas.values() if r.core is not None and not r.frozen]
    if world.scenario.timed:
        world.now_ms += TICK_MS
    for name in running:
        tick_replica(world, name)


def advance_repeatedly(world, move):
    """Apply `Next`."""
    for _ in range(move.times):
        advance(world)


def take_from_queue(world, move):
    """Return the first queued item that has a move's label, or None, and the rest of the queue."""
    label = (move.sender, move.target, move.kind)
    for position, item in enumerate(world.queue):
        if item.label == label:
            return item, world.queue[:position] + world.queue[position + 1 :]
    return None, world.queue


def deliver(world, move):
    """Apply `Deliver`."""
    if world.replicas[move.target].frozen:
        return
    item, world.queue = take_from_queue(world, move)
    if item is not None:
        handle_item(world, item)


def drop(world, move):
    """Apply `Drop`."""
    if move.kind != "Sync":
        _, world.queue = take_from_queue(world, move)


def delay(world, move):
    """Apply `Delay`."""
    item, world.queue = take_from_queue(world, move)
    if item is not None:
        world.delayed += (item,)


def propose(world, move):
    """Apply `Propose`; an earlier proposal of this member is abandoned, as after a timeout."""
    replica = mutable_replica(world, move.name)
    if replica.core is None:
        return
    synchrony = replica.core.synchrony
    known_members = {p.endpoint.member.name: p.endpoint.member for p in synchrony.peers.values()} | {
        synchrony.name: synchrony.local_member
    }
    out = Output()
    synchrony.proposal = None
    membership.propose(synchrony, out, tuple(known_members[n] for n in move.members if n in known_members))
    step.deliver_to_self(synchrony, out)
    apply_output(world, replica, out)
    checks.check_notifications(world, replica, out.notifications)


def fire_timers(world, move):
    """Apply `FireTimers`."""
    if world.replicas[move.name].core is not None:
        tick_replica(world, move.name)


def crash(world, move):
    """Apply `Crash`."""
    replica = mutable_replica(world, move.name)
    if replica.core is None:
        return
    disk = replica.disk
    synced = disk.synced
    for record in disk.pending[: move.kept]:
        synced = tuple(record.records) if isinstance(record, RewriteLog) else (*synced, record)
    replica.disk = Disk(synced, boot_count=disk.boot_count)
    stop_replica(world, replica)


def wipe(world, move):
    """Apply `Wipe`."""
    replica = mutable_replica(world, move.name)
    if replica.core is None:
        return
    replica.disk = Disk(boot_count=replica.disk.boot_count)
    world.history = structs.replace(world.history, wiped_replicas=world.history.wiped_replicas | {move.name})
    stop_replica(world, replica)


def restart(world, move):
    """Apply `Restart`."""
    replica = mutable_replica(world, move.name)
    if replica.core is None:
        start_replica(world, replica)
        exchange_discovery(world, move.name)


def submit(world, move):
    """Apply `Submit`."""
    if world.replicas[move.name].core is not None:
        step_replica(world, move.name, OperationSubmitted(world.now_ms, PAYLOAD))


def change_voters(world, move):
    """Apply `ChangeVoters`."""
    replica = world.replicas[move.name]
    if replica.core is None:
        return
    history = world.history
    world.history = structs.replace(history, requested_voters=(*history.requested_voters, move.after))
    request = SetVoters(replica.synchrony.configuration.id, replica.core.ledger.voters, move.after)
    step_replica(world, move.name, OperationSubmitted(world.now_ms, encode(request)))


def take_snapshot(world, move):
    """Apply `TakeSnapshot`."""
    replica = mutable_replica(world, move.name)
    if replica.core is None:
        return
    synchrony, out = replica.core.synchrony, Output()
    bounds = synchrony.bounds
    synchrony.bounds = structs.replace(bounds, rewrite_entries=1)
    snapshotting.compact_log(replica.core, out)
    synchrony.bounds = bounds
    apply_output(world, replica, out)


def block_links(world, move):
    """Apply `BlockLinks`; messages in flight on the blocked links are lost too."""
    world.blocked_links |= {(move.name, n) for n in move.to} | {(n, move.name) for n in move.from_}
    world.queue = tuple(item for item in world.queue if item.label[:2] not in world.blocked_links)
    world.delayed = tuple(item for item in world.delayed if item.label[:2] not in world.blocked_links)


def restore_links(world, move):
    """Apply `RestoreLinks`; in an untimed scenario all replicas discover each other immediately, as after a start."""
    world.blocked_links = frozenset()
    for name in [r.name for r in world.replicas.values() if r.core is not None]:
        exchange_discovery(world, name)


def freeze(world, move):
    """Apply `Freeze`."""
    if world.replicas[move.name].core is not None:
        mutable_replica(world, move.name).frozen = True


def thaw(world, move):
    """Apply `Thaw`."""
    mutable_replica(world, move.name).frozen = False


TRANSITIONS = {
    Next: advance_repeatedly,
    Deliver: deliver,
    Drop: drop,
    Delay: delay,
    Propose: propose,
    FireTimers: fire_timers,
    Crash: crash,
    Wipe: wipe,
    Restart: restart,
    Submit: submit,
    ChangeVoters: change_voters,
    TakeSnapshot: take_snapshot,
    BlockLinks: block_links,
    RestoreLinks: restore_links,
    Freeze: freeze,
    Thaw: thaw,
}
