"""Recorded lives of one node: inputs that are played again, and checks of what the node does."""

import zlib

from msgspec import Struct, field, msgpack

from frostpost.daemon import core as cores
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.durable_log import DurableLog, replay, replay_record
from frostpost.virtual_synchrony.endpoints import Endpoint
from frostpost.virtual_synchrony.events import (
    ConfigurationChanged,
    EntryApplied,
    EntryDelivered,
    Input,
    LogSynced,
    Record,
    RewriteLog,
    SnapshotInstalled,
)
from frostpost.virtual_synchrony.messages import BatchAck, RecoveryComplete

from . import world as worlds
from .evs_checks import Broken


class Trace(Struct, rename={"endpoint": "place"}):
    """A recorded life: how the node started and all its inputs; `place` is the name of its endpoint in recordings."""

    note: str
    endpoint: Endpoint
    bounds: Bounds
    seeds: tuple[str, ...]
    voters: tuple[str, ...]
    records: list[Record]
    now_ms: int
    inputs: list[Input] = []


class Life(Struct):
    """What a played node has synced, applied and acknowledged."""

    log: DurableLog = field(default_factory=DurableLog)
    unsynced: list = []
    applied: int = 0
    opened: bool = False
    acked: tuple = (None, 0)


def recorder(name, traces):
    """Return (start, feed) functions that record one node's lives."""
    start, feed = worlds.start, worlds.feed

    def start_one(world, node):
        if node == name:
            traces.append([list(world.nodes[node].disk.lasting), []])
        start(world, node)
        if node == name:
            held = world.nodes[node]
            traces[-1].insert(0, (held.endpoint, worlds.clock(world, held)))

    def feed_one(world, node, input):
        held = world.nodes[node]
        if node == name and held.core is not None and not held.frozen:
            traces[-1][-1].append(input)
        feed(world, node, input)

    return start_one, feed_one


def save(trace, path):
    """Write a trace to a file."""
    with open(path, "wb") as file:
        file.write(zlib.compress(msgpack.encode(trace), 9))


def load(path):
    """Read a trace from a file."""
    with open(path, "rb") as file:
        return msgpack.decode(zlib.decompress(file.read()), type=Trace)


def last(life, record):
    """Apply a record to the log that is on disk."""
    if isinstance(record, RewriteLog):
        life.log = replay(record.records)
    else:
        replay_record(life.log, record)


def play(trace):
    """Play a trace; yield its violations."""
    core, out = cores.create_core(
        trace.endpoint, trace.bounds, trace.seeds, trace.voters, replay(trace.records), trace.now_ms
    )
    life, wrote = Life(replay(trace.records)), 0
    life.applied = core.synchrony.applied
    for input in (None, *trace.inputs):
        if input is not None:
            if isinstance(input, LogSynced) and input.up_to > wrote:
                input = LogSynced(input.now_ms, wrote)
            if isinstance(input, LogSynced):
                done = [w for n, w in life.unsynced if n <= input.up_to]
                life.unsynced = [(n, w) for n, w in life.unsynced if n > input.up_to]
                for record in done:
                    last(life, record)
            core, out = cores.step(core, input)
        for record in out.writes:
            wrote += 1
            life.unsynced.append((wrote, record))
        yield from manners(core, life, out)


def manners(core, life, out):
    """Yield the violations that one output shows."""
    storage = core.synchrony.has_log
    for _, body in out.sends:
        if isinstance(body, RecoveryComplete) and storage and life.log.epoch < body.id.epoch:
            yield Broken("promise", f"{body.id} was completed before its promise was synced")
        if isinstance(body, BatchAck) and storage and core.synchrony.primary.ready_record_number >= 0:
            top = max(body.acknowledged_watermark, body.synced_watermark)
            if life.log.primary == body.id and life.log.length < life.log.base + top:
                yield Broken("ack", f"{top} of {body.id} was acknowledged and not synced")
            life.acked = (body.id, top)
    id, top = life.acked
    for log in (life.log, core.synchrony.log):
        if log.primary == id and log.length < log.base + top:
            yield Broken("cut", f"{top} of {id} was acknowledged and cut off")
    for answer in out.notifications:
        match answer:
            case ConfigurationChanged(_, False):
                life.opened = False
            case EntryDelivered(entry, _, True) if entry.ordinal == 1:
                life.opened = True
            case SnapshotInstalled(index, _):
                life.applied, life.opened = index, core.synchrony.primary.open_committed
            case EntryApplied(entry):
                if not life.opened:
                    yield Broken("open", f"{entry.index} was applied before its Open")
                if entry.index != life.applied + 1:
                    yield Broken("order", f"{entry.index} was applied after {life.applied}")
                life.applied = entry.index


def record(note, name, run):
    """Run a simulation and return the traces of one node's lives."""
    lives = []
    kept = worlds.start, worlds.feed
    worlds.start, worlds.feed = recorder(name, lives)
    try:
        world, _ = run()
    finally:
        worlds.start, worlds.feed = kept
    traces = []
    for (endpoint, now_ms), records, inputs in lives:
        seeds = tuple(f"@{n}:1" for n in list(world.nodes)[:3])
        traces.append(Trace(note, endpoint, world.bounds, seeds, world.voters, records, now_ms, inputs))
    return traces
