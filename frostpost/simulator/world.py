"""The core simulation: pure cores of all daemons, a network and disks under one virtual clock."""

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

from .node import Node


class World(Struct):
    """All nodes, the event queue and the history."""

    seed: int
    random: Random
    bounds: Bounds
    nodes: dict[str, Node]
    voters: tuple[str, ...]
    now_ms: float = 0.0
    queue: list = []
    serial: int = 0
    cuts: set = set()
    loss_rate: float = 0.0
    history: list = []
    sent: int = 0
    trace: list = []
    ordered: dict = field(default_factory=dict)
    ops: dict = field(default_factory=dict)
    tap: object = None
    trap: bool = False


def make(seed, edges=2, storages=3, cores_count=2, bounds=None, voters=0):
    """Return a world with all nodes started."""
    nodes = {}
    for role, many in (("storage", storages), ("core", cores_count), ("edge", edges)):
        nodes |= {f"{role[0]}{i + 1}": Node(f"{role[0]}{i + 1}", role, "abc"[i % 3]) for i in range(many)}
    voters = tuple(n for n in nodes if n[0] == "s")[: voters or storages]
    world = World(seed, Random(seed), bounds or Bounds(), nodes, voters)
    for name in nodes:
        start(world, name)
    return world


def at(world, delay_ms, kind, *rest):
    """Schedule an event."""
    world.serial += 1
    heappush(world.queue, (world.now_ms + delay_ms, world.serial, kind, rest))


def start(world, name):
    """Start a node from its disk."""
    node = world.nodes[name]
    node.life += 1
    node.disk.boots += 1
    incarnation = node.disk.boots if node.role == "storage" else world.random.randrange(1 << 40)
    member = Member(name, incarnation)
    node.endpoint = Endpoint(member, node.role, node.zone, name, 1, 0, PROTOCOL_REVISION)
    seeds = [f"@{n}:1" for n in list(world.nodes)[:3]]
    log = replay(node.disk.lasting)
    node.frozen, node.queue, node.disk.syncing = False, [], 0
    node.disk.written, node.disk.wrote = [], 0
    node.core, out = cores.create_core(
        node.endpoint, world.bounds, seeds, world.voters, log, int(world.now_ms) + node.skew_ms
    )
    note(world, name, events.ConfigurationChanged(node.core.synchrony.configuration, False))
    perform(world, node, out)
    at(world, world.random.random() * 20, "tick", name, node.life)


def kill(world, name, power=False):
    """Kill a node; with the power, unsynced records survive at random."""
    node = world.nodes[name]
    if node.core is None:
        return
    kept = len(node.disk.written)
    if power:
        kept = world.random.randint(0, kept)
    for record in node.disk.written[:kept]:
        last(node.disk, record)
    node.disk.written = []
    note(world, name, "failed")
    node.core, node.life = None, node.life + 1


def last(disk, record):
    """Apply a synced record to a disk."""
    if isinstance(record, RewriteLog):
        disk.lasting = list(record.records)
    else:
        disk.lasting.append(record)


def note(world, name, answer):
    """Add an answer to the history."""
    node = world.nodes[name]
    member = node.endpoint.member
    world.history.append((round(world.now_ms, 3), member, answer))


def feed(world, name, input):
    """Give a node an input, or queue it while the node is frozen."""
    node = world.nodes[name]
    if node.core is None:
        return
    if node.frozen:
        node.queue.append(input)
        return
    node.core, out = cores.step(node.core, input)
    perform(world, node, out)


def clock(world, node):
    """Return a node's clock in milliseconds."""
    return int(world.now_ms) + node.skew_ms


def perform(world, node, out):
    """Carry out a node's sends, writes and answers."""
    for to, body in out.sends:
        target = to[1:].split(":")[0] if to[0] == "@" else to
        send(world, node, target, body)
    if out.writes:
        node.disk.written += out.writes
        node.disk.wrote += len(out.writes)
        sync(world, node)
    for answer in out.notifications:
        note(world, node.name, answer)
        if world.tap:
            world.tap(world, node, answer)


def sync(world, node):
    """Start a sync of what is written, if none is under way."""
    if not node.disk.syncing and node.disk.written:
        node.disk.syncing = len(node.disk.written)
        node.disk.syncs += 1
        delay_ms = node.disk.delay_ms * (0.5 + world.random.random())
        at(world, delay_ms, "synced", node.name, node.life, node.disk.wrote)


def send(world, node, target, body):
    """Send a message, unless the link is cut or the message is lost."""
    world.sent += 1
    if isinstance(body, EntryBatch) and body.entries:
        key = (node.endpoint.member, body.id)
        world.ordered[key] = max(world.ordered.get(key, 0), body.entries[-1].ordinal)
    other = world.nodes.get(target)
    if other is None or (node.name, target) in world.cuts:
        return
    if world.loss_rate and world.random.random() < world.loss_rate:
        return
    far = 0.5 if other.zone != node.zone else 0.1
    at(world, far + world.random.expovariate(2), "arrive", target, node.endpoint, body)


def run(world, until_ms):
    """Run up to a time in milliseconds."""
    while world.queue and world.queue[0][0] <= until_ms:
        when_ms, _, kind, rest = heappop(world.queue)
        world.now_ms = max(world.now_ms, when_ms)
        handle(world, kind, rest)
    world.now_ms = max(world.now_ms, until_ms)


def handle(world, kind, rest):
    """Handle one event."""
    if kind == "call":
        rest[0](world, *rest[1:])
        return
    node = world.nodes[rest[0]]
    if kind == "arrive":
        if node.core is not None:
            if node.frozen:
                node.queue.append((rest[1], rest[2]))
            else:
                feed(world, node.name, MessageReceived(clock(world, node), rest[1], rest[2]))
    elif rest[1] != node.life:
        return
    elif kind == "tick":
        if not node.frozen:
            feed(world, node.name, TimerTick(clock(world, node)))
        at(world, 20, "tick", node.name, node.life)
    elif kind == "synced":
        done, node.disk.syncing = node.disk.syncing, 0
        for record in node.disk.written[:done]:
            last(node.disk, record)
        node.disk.written = node.disk.written[done:]
        if not node.frozen:
            feed(world, node.name, LogSynced(clock(world, node), rest[2]))
        else:
            node.queue.append(rest[2])
        sync(world, node)


def freeze(world, name):
    """Freeze a node."""
    world.nodes[name].frozen = True


def thaw(world, name):
    """Let a node go on with all that arrived meanwhile."""
    node = world.nodes[name]
    if not node.frozen or node.core is None:
        return
    node.frozen, queue, node.queue = False, node.queue, []
    for item in queue:
        if isinstance(item, int):
            feed(world, name, LogSynced(clock(world, node), item))
        else:
            feed(world, name, MessageReceived(clock(world, node), item[0], item[1]))


def cut(world, left, right, one_way=False):
    """Cut the links between two groups."""
    for a in left:
        for b in right:
            world.cuts.add((a, b))
            if not one_way:
                world.cuts.add((b, a))
