"""Steps of single replicas in the model checker: message sends, disk writes, process starts and stops."""

from msgspec import structs

from frostpost.daemon import core as cores
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.durable_log import replay
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.events import LogSynced, MessageReceived, RewriteLog, TimerTick
from frostpost.virtual_synchrony.members import member_names
from frostpost.virtual_synchrony.messages import DiscoveryUpdate, Heartbeat

from . import explore_checks as checks
from .explore_hash import encode, short_hash
from .explore_state import Disk, Message, SyncCompletion, bootstrap_voters, mutable_replica

BOUNDS = Bounds()
SLOW_SYNC_BOUNDS = Bounds(receipt_ack_ms=0)
TIMERS = ("heartbeat_ms", "outbox_ms")
LONG_AGO_MS = -(1 << 40)


def bounds_for(scenario):
    """Return the protocol's bounds for a scenario."""
    return SLOW_SYNC_BOUNDS if scenario.slow_syncs else BOUNDS


def step_replica(world, name, event):
    """Run one step of a replica's core and apply its output."""
    replica = mutable_replica(world, name)
    replica.core, out = cores.step(replica.core, event)
    apply_output(world, replica, out)
    checks.check_notifications(world, replica, out.notifications)


def apply_output(world, replica, out):
    """Send the messages and write the records that a step produced."""
    for to, body in out.sends:
        send_message(world, replica, to[1:].split(":")[0] if to[0] == "@" else to, body)
    if out.writes:
        disk = replica.disk
        replica.disk = structs.replace(disk, pending=disk.pending + tuple(out.writes))
        start_sync(world, replica)


def send_message(world, replica, target, body):
    """Queue a message, unless its target is unreachable or an equal message is already queued."""
    other = world.replicas.get(target)
    if other is None or other.core is None or (replica.name, target) in world.blocked_links:
        return
    endpoint = replica.core.synchrony.endpoint
    if isinstance(body, (Heartbeat, DiscoveryUpdate)) and not (world.scenario.slow_heartbeats or other.frozen):
        world.pending_heartbeats.append((endpoint, target, body))
        return
    digest = short_hash(encode([endpoint.member, target, type(body).__name__, body]))
    if other.frozen:
        world.delayed += (Message(endpoint, target, body, digest),)
    elif all(item.digest != digest for item in world.queue):
        world.queue += (Message(endpoint, target, body, digest),)


def start_sync(world, replica):
    """Start a sync of all pending records, unless one is in progress."""
    disk = replica.disk
    if disk.syncing_count or not disk.pending:
        return
    replica.disk = structs.replace(disk, syncing_count=len(disk.pending))
    incarnation = replica.core.synchrony.local_member.incarnation
    world.queue += (SyncCompletion(replica.name, incarnation, short_hash(encode(["sync", replica.name, incarnation]))),)


def finish_sync(world, name):
    """Complete a sync: make its records durable, start the next one and notify the replica."""
    replica = mutable_replica(world, name)
    disk = replica.disk
    synced = disk.synced
    for record in disk.pending[: disk.syncing_count]:
        synced = tuple(record.records) if isinstance(record, RewriteLog) else (*synced, record)
    synced_count = disk.synced_count + disk.syncing_count
    replica.disk = Disk(synced, disk.pending[disk.syncing_count :], 0, synced_count, disk.boot_count)
    start_sync(world, replica)
    step_replica(world, name, LogSynced(world.now_ms, synced_count))


def handle_item(world, item):
    """Deliver a message or complete a sync."""
    if isinstance(item, SyncCompletion):
        finish_sync(world, item.target)
    else:
        step_replica(world, item.target, MessageReceived(world.now_ms, item.sender, item.body))


def tick_replica(world, name):
    """Run a replica's timers: those that are due by its clock, or all of them in an untimed scenario."""
    if not world.scenario.timed:
        expire_timers(mutable_replica(world, name).core.synchrony)
    step_replica(world, name, TimerTick(world.now_ms))
    while world.pending_heartbeats:
        endpoint, target, body = world.pending_heartbeats.pop(0)
        step_replica(world, target, MessageReceived(world.now_ms, endpoint, body))


def expire_timers(synchrony):
    """Set back the start of all timers, so that each of them is due."""
    for timer in TIMERS:
        setattr(synchrony, timer, LONG_AGO_MS)
    synchrony.primary.last_fetch_ms = LONG_AGO_MS
    synchrony.order.sent_ms = dict.fromkeys(member_names(synchrony.configuration), LONG_AGO_MS)
    if synchrony.recovery:
        synchrony.recovery.sent_ms = LONG_AGO_MS
    if synchrony.proposal:
        synchrony.proposal.sent_ms = LONG_AGO_MS
        synchrony.proposal.started_ms = synchrony.now_ms


def stop_replica(world, replica):
    """Stop a replica's process; messages in flight to it are lost."""
    replica.core, replica.frozen = None, False
    world.queue = tuple(item for item in world.queue if item.target != replica.name)
    world.delayed = tuple(item for item in world.delayed if item.target != replica.name)


def start_replica(world, replica):
    """Start a replica's process from the log on its disk."""
    scenario, boot_count = world.scenario, replica.disk.boot_count + 1
    endpoint = Endpoint(Member(replica.name, boot_count), "storage", "zone", replica.name, 1, 0, PROTOCOL_REVISION)
    seeds = tuple(f"@{name}:1" for name in world.replicas)
    replica.disk = Disk(replica.disk.synced, boot_count=boot_count)
    log = replay(replica.disk.synced)
    replica.core, out = cores.create_core(
        endpoint, bounds_for(scenario), seeds, bootstrap_voters(scenario), log, world.now_ms
    )
    apply_output(world, replica, out)
    checks.check_restarted_replica(world, replica)


def exchange_discovery(world, name):
    """In an untimed scenario, let a replica and all that it can reach discover each other immediately."""
    if world.scenario.timed:
        return
    endpoint = world.replicas[name].core.synchrony.endpoint
    others = [r.name for r in world.replicas.values() if r.core is not None and r.name != name]
    for other in others:
        if (name, other) in world.blocked_links or (other, name) in world.blocked_links:
            continue
        step_replica(world, other, MessageReceived(world.now_ms, endpoint, DiscoveryUpdate((), False)))
        other_endpoint = world.replicas[other].core.synchrony.endpoint
        step_replica(world, name, MessageReceived(world.now_ms, other_endpoint, DiscoveryUpdate((), False)))
    for ticked in (name, *others):
        tick_replica(world, ticked)
