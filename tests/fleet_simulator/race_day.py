"""A day on which operators contend for the configuration while leaders, readers and seeds are lost and cut off."""

from collections import Counter
from random import Random

from msgspec import Struct

from . import troubles
from .play import heal, judged, storm
from .races import Races, acknowledged
from .stage import await_, crowd_of, open_, probe, settle

CONTROL_KINDS = (
    "node_kill",
    "node_kill_storage",
    "node_freeze",
    "node_cut",
    "node_slow",
    "core_cut",
    "halves",
    "disk_slow",
    "disk_stall",
    "clock_step",
    "storage_power",
    "replace_core",
    "seed_turnover",
    "after_ack_kill",
    "wipe",
)
PATIENCE_MS = 9000


class RaceReport(Struct):
    """What became of the day's changes. resent: statuses of acknowledged ones that were sent again at the end."""

    seed: int
    broken: list
    acknowledged: int
    sent: int
    calls: dict
    resent: dict
    trace: list


def race_day(seed, shape=None, lost=0.2, ms=20000, gap_ms=45, kinds=CONTROL_KINDS, trouble_gap_ms=3000, closing=""):
    """Play a day of contending operators -> (world, RaceReport). lost: share of the answers that never arrive."""
    world, operators, _, _ = open_(seed, shape)
    random, races, trace = Random(f"{seed}race day"), Races(world, lost), []
    crowd, until_ms = crowd_of(world, "c"), world.now_ms() + ms
    world.operators, world.crowd, world.changes_until_ms = operators, crowd, until_ms
    for daemon in world.of("edge"):
        probe(world, crowd, daemon)
    crowd.arrive(until_ms, 1000)
    races.run(until_ms, gap_ms)
    if kinds:
        storm(world, random, operators, kinds, until_ms, trouble_gap_ms, trace)
    world.run(until_ms)
    heal(world)
    settle(world, world.notes.sheet["recovery"])
    world.run(world.now_ms() + PATIENCE_MS)
    if closing:
        fallen_ms = world.now_ms() + troubles.all_down(world, random, closing == "power")
        world.run(fallen_ms + 10)
        settle(world, world.notes.sheet["recovery"])
    statuses = await_(world, races.resend_all(world.now_ms() + PATIENCE_MS), PATIENCE_MS + 2000)
    document = await_(world, operators[0].read(world.now_ms() + PATIENCE_MS), PATIENCE_MS)
    calls = Counter(call.status for call in world.notes.control_calls)
    resent = Counter(status for _, status in statuses or ())
    report = RaceReport(
        seed, judged(world, document), acknowledged(world), len(world.notes.versions), dict(calls), dict(resent), trace
    )
    return world, report
