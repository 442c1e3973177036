"""A simulated day of concurrent configuration changes while daemons fail and are partitioned."""

from collections import Counter
from random import Random

from msgspec import Struct

from . import troubles
from .play import heal, invariant_violations, storm
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
CHANGE_TIMEOUT_MS = 9000


class RaceReport(Struct):
    """Result of a day. resent: statuses of acknowledged changes that were resent at the end, with counts."""

    seed: int
    broken: list
    acknowledged: int
    sent: int
    calls: dict
    resent: dict
    trace: list


def race_day(seed, shape=None, lost=0.2, ms=20000, gap_ms=45, kinds=CONTROL_KINDS, trouble_gap_ms=3000, closing=""):
    """Simulate a day of concurrent operators. Returns (world, RaceReport). lost: fraction of lost responses."""
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
    world.run(world.now_ms() + CHANGE_TIMEOUT_MS)
    if closing:
        down_ms = world.now_ms() + troubles.all_down(world, random, closing == "power")
        world.run(down_ms + 10)
        settle(world, world.notes.sheet["recovery"])
    statuses = await_(world, races.resend_all(world.now_ms() + CHANGE_TIMEOUT_MS), CHANGE_TIMEOUT_MS + 2000)
    document = await_(world, operators[0].read(world.now_ms() + CHANGE_TIMEOUT_MS), CHANGE_TIMEOUT_MS)
    calls = Counter(call.status for call in world.notes.control_calls)
    resent = Counter(status for _, status in statuses or ())
    report = RaceReport(
        seed,
        invariant_violations(world, document),
        acknowledged(world),
        len(world.notes.versions),
        dict(calls),
        dict(resent),
        trace,
    )
    return world, report
