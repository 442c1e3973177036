"""Steps of replicas in the model checker, and what follows from them: messages in flight, disks, starts and ends."""

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
from .explore_state import Disk, Message, SyncDone, first_voters, own

BOUNDS = Bounds()
SLOW_SYNC_BOUNDS = Bounds(receipt_ack_ms=0)
TIMERS = ("heartbeat_ms", "outbox_ms")
LONG_AGO_MS = -(1 << 40)


def bounds_of(scenario):
    """The protocol's bounds in a scenario."""
    return SLOW_SYNC_BOUNDS if scenario.slow_syncs else BOUNDS


def step_replica(world, name, event):
    """One step of the product, with its effects."""
    replica = own(world, name)
    replica.core, out = cores.step(replica.core, event)
    effects(world, replica, out)
    checks.answers(world, replica, out.notifications)


def effects(world, replica, out):
    """Sends and writes of a step."""
    for to, body in out.sends:
        send(world, replica, to[1:].split(":")[0] if to[0] == "@" else to, body)
    if out.writes:
        disk = replica.disk
        replica.disk = structs.replace(disk, pending=disk.pending + tuple(out.writes))
        start_sync(world, replica)


def send(world, replica, target, body):
    """Put a message in flight unless it can't arrive or an equal one is under way."""
    other = world.replicas.get(target)
    if other is None or other.core is None or (replica.name, target) in world.cuts:
        return
    endpoint = replica.core.synchrony.endpoint
    if isinstance(body, (Heartbeat, DiscoveryUpdate)) and not (world.scenario.slow_heartbeats or other.frozen):
        world.heartbeats.append((endpoint, target, body))
        return
    digest = short_hash(encode([endpoint.member, target, type(body).__name__, body]))
    if other.frozen:
        world.late += (Message(endpoint, target, body, digest),)
    elif all(item.digest != digest for item in world.queue):
        world.queue += (Message(endpoint, target, body, digest),)


def start_sync(world, replica):
    """Let the disk sync all that was written, unless a sync is under way."""
    disk = replica.disk
    if disk.syncing or not disk.pending:
        return
    replica.disk = structs.replace(disk, syncing=len(disk.pending))
    incarnation = replica.core.synchrony.local_member.incarnation
    world.queue += (SyncDone(replica.name, incarnation, short_hash(encode(["sync", replica.name, incarnation]))),)


def finish_sync(world, name):
    """A sync ends: its records last, and the replica is told."""
    replica = own(world, name)
    disk = replica.disk
    synced = disk.synced
    for record in disk.pending[: disk.syncing]:
        synced = tuple(record.records) if isinstance(record, RewriteLog) else (*synced, record)
    done = disk.done + disk.syncing
    replica.disk = Disk(synced, disk.pending[disk.syncing :], 0, done, disk.boots)
    start_sync(world, replica)
    step_replica(world, name, LogSynced(world.now_ms, done))


def handle(world, item):
    """A message arrives, or a disk answers."""
    if isinstance(item, SyncDone):
        finish_sync(world, item.target)
    else:
        step_replica(world, item.target, MessageReceived(world.now_ms, item.sender, item.body))


def tick(world, name):
    """A replica's timers: as its clock says, or all at once where there is none."""
    if not world.scenario.timed:
        rewind(own(world, name).core.synchrony)
    step_replica(world, name, TimerTick(world.now_ms))
    while world.heartbeats:
        endpoint, target, body = world.heartbeats.pop(0)
        step_replica(world, target, MessageReceived(world.now_ms, endpoint, body))


def rewind(synchrony):
    """Set all timers as if they had been started long ago."""
    for timer in TIMERS:
        setattr(synchrony, timer, LONG_AGO_MS)
    synchrony.primary.last_fetch_ms = LONG_AGO_MS
    synchrony.order.sent_ms = dict.fromkeys(member_names(synchrony.configuration), LONG_AGO_MS)
    if synchrony.recovery:
        synchrony.recovery.sent_ms = LONG_AGO_MS
    if synchrony.proposal:
        synchrony.proposal.sent_ms = LONG_AGO_MS
        synchrony.proposal.started_ms = synchrony.now_ms


def stop(world, replica):
    """A process ends; what is on its way to it is lost."""
    replica.core, replica.frozen = None, False
    world.queue = tuple(item for item in world.queue if item.target != replica.name)
    world.late = tuple(item for item in world.late if item.target != replica.name)


def start(world, replica):
    """A process begins on what its disk holds."""
    scenario, boots = world.scenario, replica.disk.boots + 1
    endpoint = Endpoint(Member(replica.name, boots), "storage", "zone", replica.name, 1, 0, PROTOCOL_REVISION)
    seeds = tuple(f"@{name}:1" for name in world.replicas)
    replica.disk = Disk(replica.disk.synced, boots=boots)
    log = replay(replica.disk.synced)
    replica.core, out = cores.create_core(
        endpoint, bounds_of(scenario), seeds, first_voters(scenario), log, world.now_ms
    )
    effects(world, replica, out)
    checks.restarted(world, replica)


def greet(world, name):
    """Without a clock a replica that starts and all that it reaches hear of each other at once."""
    if world.scenario.timed:
        return
    endpoint = world.replicas[name].core.synchrony.endpoint
    others = [r.name for r in world.replicas.values() if r.core is not None and r.name != name]
    for other in others:
        if (name, other) in world.cuts or (other, name) in world.cuts:
            continue
        step_replica(world, other, MessageReceived(world.now_ms, endpoint, DiscoveryUpdate((), False)))
        there = world.replicas[other].core.synchrony.endpoint
        step_replica(world, name, MessageReceived(world.now_ms, there, DiscoveryUpdate((), False)))
    for one in (name, *others):
        tick(world, one)
