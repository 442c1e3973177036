"""Recorded runs of one node: its inputs, which can be replayed, and checks of its outputs."""

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
from .evs_checks import Violation


class Trace(Struct, rename={"endpoint": "place"}):
    """A recorded run of a node from one start: its initial state and all inputs. `endpoint` is stored as `place`."""

    note: str
    endpoint: Endpoint
    bounds: Bounds
    seeds: tuple[str, ...]
    voters: tuple[str, ...]
    records: list[Record]
    now_ms: int
    inputs: list[Input] = []


class ReplayState(Struct):
    """What a replayed node has done so far.

    log: the synced log. unsynced: (number, record) pairs not yet synced. applied: index of the last applied entry.
    acknowledged: the configuration and watermark of the last acknowledgement.
    """

    log: DurableLog = field(default_factory=DurableLog)
    unsynced: list = []
    applied: int = 0
    opened: bool = False
    acknowledged: tuple = (None, 0)


def recorders(name, runs):
    """Return replacements for `world.start` and `world.feed` that append each run of a node to `runs`."""
    start, feed = worlds.start, worlds.deliver_input

    def record_start(world, node_name):
        if node_name == name:
            runs.append([list(world.nodes[node_name].disk.synced_records), []])
        start(world, node_name)
        if node_name == name:
            node = world.nodes[node_name]
            runs[-1].insert(0, (node.endpoint, worlds.clock_ms(world, node)))

    def record_feed(world, node_name, input):
        node = world.nodes[node_name]
        if node_name == name and node.core is not None and not node.frozen:
            runs[-1][-1].append(input)
        feed(world, node_name, input)

    return record_start, record_feed


def save(trace, path):
    """Write a trace to a file."""
    with open(path, "wb") as file:
        file.write(zlib.compress(msgpack.encode(trace), 9))


def load(path):
    """Read a trace from a file."""
    with open(path, "rb") as file:
        return msgpack.decode(zlib.decompress(file.read()), type=Trace)


def apply_synced_record(state, record):
    """Apply a record to the synced log."""
    if isinstance(record, RewriteLog):
        state.log = replay(record.records)
    else:
        replay_record(state.log, record)


def replay_violations(trace):
    """Replay a trace; yield the violations in the node's outputs."""
    core, out = cores.create_core(
        trace.endpoint, trace.bounds, trace.seeds, trace.voters, replay(trace.records), trace.now_ms
    )
    state, written_count = ReplayState(replay(trace.records)), 0
    state.applied = core.synchrony.applied
    for input in (None, *trace.inputs):
        if input is not None:
            if isinstance(input, LogSynced) and input.up_to > written_count:
                input = LogSynced(input.now_ms, written_count)
            if isinstance(input, LogSynced):
                synced = [r for n, r in state.unsynced if n <= input.up_to]
                state.unsynced = [(n, r) for n, r in state.unsynced if n > input.up_to]
                for record in synced:
                    apply_synced_record(state, record)
            core, out = cores.step(core, input)
        for record in out.writes:
            written_count += 1
            state.unsynced.append((written_count, record))
        yield from output_violations(core, state, out)


def output_violations(core, state, out):
    """Yield the violations in one output: unsynced promises and acknowledgements, lost or misordered entries."""
    has_log = core.synchrony.has_log
    for _, body in out.sends:
        if isinstance(body, RecoveryComplete) and has_log and state.log.epoch < body.id.epoch:
            yield Violation("promise", f"{body.id} was completed before its promise was synced")
        if isinstance(body, BatchAck) and has_log and core.synchrony.primary.ready_record_number >= 0:
            watermark = max(body.acknowledged_watermark, body.synced_watermark)
            if state.log.primary == body.id and state.log.length < state.log.base + watermark:
                yield Violation("ack", f"{watermark} of {body.id} was acknowledged and not synced")
            state.acknowledged = (body.id, watermark)
    configuration_id, watermark = state.acknowledged
    for log in (state.log, core.synchrony.log):
        if log.primary == configuration_id and log.length < log.base + watermark:
            yield Violation("cut", f"{watermark} of {configuration_id} was acknowledged and cut off")
    for notification in out.notifications:
        match notification:
            case ConfigurationChanged(_, False):
                state.opened = False
            case EntryDelivered(entry, _, True) if entry.ordinal == 1:
                state.opened = True
            case SnapshotInstalled(index, _):
                state.applied, state.opened = index, core.synchrony.primary.open_committed
            case EntryApplied(entry):
                if not state.opened:
                    yield Violation("open", f"{entry.index} was applied before its Open")
                if entry.index != state.applied + 1:
                    yield Violation("order", f"{entry.index} was applied after {state.applied}")
                state.applied = entry.index


def record_traces(note, name, simulate):
    """Run a simulation and return the traces of one node's runs."""
    runs = []
    originals = worlds.start, worlds.deliver_input
    worlds.start, worlds.deliver_input = recorders(name, runs)
    try:
        world, _ = simulate()
    finally:
        worlds.start, worlds.deliver_input = originals
    traces = []
    for (endpoint, now_ms), records, inputs in runs:
        seeds = tuple(f"@{n}:1" for n in list(world.nodes)[:3])
        traces.append(Trace(note, endpoint, world.bounds, seeds, world.voters, records, now_ms, inputs))
    return traces
