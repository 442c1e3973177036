"""Simulation of the daemons' cores: all nodes, a network and disks under one virtual clock."""

from heapq import heappop, heappush
from random import Random

from msgspec import Struct, field

from frostpost.daemon import core as cores
from frostpost.virtual_synchrony import events
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.durable_log import replay
from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint, Member
from frostpost.virtual_synchrony.events import LogSynced, MessageReceived, RewriteLog, TimerTick
from frostpost.virtual_synchrony.messages import EntryBatch

from . import link_limits, memory_bounds
from .link_limits import LinkLimits, LinkQueues
from .memory_bounds import MemoryBound
from .node import Node


class World(Struct):
    """The state of a simulation: its nodes, event queue, network and the history of notifications."""

    seed: int
    random: Random
    bounds: Bounds
    nodes: dict[str, Node]
    voters: tuple[str, ...]
    now_ms: float = 0.0
    queue: list = []
    event_count: int = 0
    cuts: set = set()
    loss_rate: float = 0.0
    history: list = []
    sent: int = 0
    trace: list = []
    last_ordinals: dict = field(default_factory=dict)
    submitted_operations: dict = field(default_factory=dict)
    on_notification: object = None
    power_cut_pending: bool = False
    link_queues: LinkQueues = field(default_factory=LinkQueues)
    memory: MemoryBound = field(default_factory=MemoryBound)


def create_world(seed, edges=2, storages=3, cores_count=2, bounds=None, voters=0, limits=None):
    """Return a world with all nodes started; `voters` is the number of storage nodes that vote, 0 for all.

    limits: the LinkLimits of all links, those of the daemons if None.
    """
    nodes = {}
    for role, count in (("storage", storages), ("core", cores_count), ("edge", edges)):
        nodes |= {f"{role[0]}{i + 1}": Node(f"{role[0]}{i + 1}", role, "abc"[i % 3]) for i in range(count)}
    voters = tuple(n for n in nodes if n[0] == "s")[: voters or storages]
    world = World(seed, Random(seed), bounds or Bounds(), nodes, voters)
    world.link_queues.limits = limits or LinkLimits()
    for name in nodes:
        start(world, name)
    return world


def schedule(world, delay_ms, kind, *arguments):
    """Schedule an event after a delay in milliseconds."""
    world.event_count += 1
    heappush(world.queue, (world.now_ms + delay_ms, world.event_count, kind, arguments))


def start(world, name):
    """Start a node with the log replayed from its disk."""
    node = world.nodes[name]
    node.generation += 1
    node.disk.boots += 1
    incarnation = node.disk.boots if node.role == "storage" else world.random.randrange(1 << 40)
    member = Member(name, incarnation)
    node.endpoint = Endpoint(member, node.role, node.zone, name, 1, 0, PROTOCOL_REVISION)
    seeds = [f"@{n}:1" for n in list(world.nodes)[:3]]
    log = replay(node.disk.synced_records)
    node.frozen, node.queue, node.disk.syncing_count = False, [], 0
    node.disk.unsynced_records, node.disk.written_count = [], 0
    node.core, out = cores.create_core(
        node.endpoint, world.bounds, seeds, world.voters, log, int(world.now_ms) + node.skew_ms
    )
    record_notification(world, name, events.ConfigurationChanged(node.core.synchrony.configuration, False))
    perform(world, node, out)
    schedule(world, world.random.random() * 20, "tick", name, node.generation)


def kill(world, name, power=False):
    """Kill a node; if power is cut, only a random prefix of the unsynced records survives."""
    node = world.nodes[name]
    if node.core is None:
        return
    kept = len(node.disk.unsynced_records)
    if power:
        kept = world.random.randint(0, kept)
    for record in node.disk.unsynced_records[:kept]:
        apply_synced_record(node.disk, record)
    node.disk.unsynced_records = []
    record_notification(world, name, "failed")
    node.core, node.generation = None, node.generation + 1


def apply_synced_record(disk, record):
    """Apply a record to the synced log of a disk."""
    if isinstance(record, RewriteLog):
        disk.synced_records = list(record.records)
    else:
        disk.synced_records.append(record)


def record_notification(world, name, notification):
    """Append a notification to the history."""
    node = world.nodes[name]
    member = node.endpoint.member
    world.history.append((round(world.now_ms, 3), member, notification))


def deliver_input(world, name, input):
    """Step a node with an input, or queue the input while the node is frozen."""
    node = world.nodes[name]
    if node.core is None:
        return
    if node.frozen:
        node.queue.append(input)
        return
    node.core, out = cores.step(node.core, input)
    if world.memory.max_bytes and node.role == "storage":
        memory_bounds.observe(world.memory, name, node.core.synchrony)
    perform(world, node, out)


def clock_ms(world, node):
    """Return a node's clock, which may be skewed, in milliseconds."""
    return int(world.now_ms) + node.skew_ms


def perform(world, node, out):
    """Execute the sends, writes and notifications that a node's step produced."""
    for destination, body in out.sends:
        target = destination[1:].split(":")[0] if destination[0] == "@" else destination
        send(world, node, target, body)
    if out.writes:
        node.disk.unsynced_records += out.writes
        node.disk.written_count += len(out.writes)
        start_sync(world, node)
    for notification in out.notifications:
        record_notification(world, node.name, notification)
        if world.on_notification:
            world.on_notification(world, node, notification)


def start_sync(world, node):
    """Start a sync of the unsynced records, unless one is in progress."""
    if not node.disk.syncing_count and node.disk.unsynced_records:
        node.disk.syncing_count = len(node.disk.unsynced_records)
        node.disk.sync_count += 1
        delay_ms = node.disk.delay_ms * (0.5 + world.random.random())
        schedule(world, delay_ms, "synced", node.name, node.generation, node.disk.written_count)


def send(world, node, target, body):
    """Schedule the arrival of a message, unless the link is cut or the message is lost."""
    world.sent += 1
    if isinstance(body, EntryBatch) and body.entries:
        key = (node.endpoint.member, body.id)
        world.last_ordinals[key] = max(world.last_ordinals.get(key, 0), body.entries[-1].ordinal)
    receiver = world.nodes.get(target)
    if receiver is None or (node.name, target) in world.cuts:
        return
    if world.loss_rate and world.random.random() < world.loss_rate:
        return
    base_delay_ms = 0.5 if receiver.zone != node.zone else 0.1
    size = link_limits.message_bytes(body)
    if size and not link_limits.enter(world.link_queues, (node.name, target), size):
        return
    schedule(world, base_delay_ms + world.random.expovariate(2), "arrive", target, node.endpoint, body, size)


def run(world, until_ms):
    """Process events up to a virtual time in milliseconds."""
    while world.queue and world.queue[0][0] <= until_ms:
        event_ms, _, kind, arguments = heappop(world.queue)
        world.now_ms = max(world.now_ms, event_ms)
        handle_event(world, kind, arguments)
    world.now_ms = max(world.now_ms, until_ms)


def handle_event(world, kind, arguments):
    """Handle one event; ticks and syncs of an earlier process of the node are discarded."""
    if kind == "call":
        arguments[0](world, *arguments[1:])
        return
    node = world.nodes[arguments[0]]
    if kind == "arrive":
        if arguments[3]:
            link_limits.leave(world.link_queues, (arguments[1].member.name, node.name), arguments[3])
        if node.core is not None:
            if node.frozen:
                node.queue.append((arguments[1], arguments[2]))
            else:
                deliver_input(world, node.name, MessageReceived(clock_ms(world, node), arguments[1], arguments[2]))
    elif arguments[1] != node.generation:
        return
    elif kind == "tick":
        if not node.frozen:
            deliver_input(world, node.name, TimerTick(clock_ms(world, node)))
        schedule(world, 20, "tick", node.name, node.generation)
    elif kind == "synced":
        synced_count, node.disk.syncing_count = node.disk.syncing_count, 0
        for record in node.disk.unsynced_records[:synced_count]:
            apply_synced_record(node.disk, record)
        node.disk.unsynced_records = node.disk.unsynced_records[synced_count:]
        if not node.frozen:
            deliver_input(world, node.name, LogSynced(clock_ms(world, node), arguments[2]))
        else:
            node.queue.append(arguments[2])
        start_sync(world, node)


def freeze(world, name):
    """Freeze a node: it processes nothing, and input is queued."""
    world.nodes[name].frozen = True


def thaw(world, name):
    """Unfreeze a node and deliver the queued input."""
    node = world.nodes[name]
    if not node.frozen or node.core is None:
        return
    node.frozen, queue, node.queue = False, node.queue, []
    for item in queue:
        if isinstance(item, int):
            deliver_input(world, name, LogSynced(clock_ms(world, node), item))
        else:
            deliver_input(world, name, MessageReceived(clock_ms(world, node), item[0], item[1]))


def cut_links(world, left, right, one_way=False):
    """Cut the links between two groups of nodes, or only those from the first to the second."""
    for sender in left:
        for receiver in right:
            world.cuts.add((sender, receiver))
            if not one_way:
                world.cuts.add((receiver, sender))
