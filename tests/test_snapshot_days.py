"""Simulated days with a snapshot every few entries: logs are compacted concurrently with appends."""

import pytest
from fleet_simulator.play import play

from frostpost.cluster import replica_context
from frostpost.daemon import snapshotting
from frostpost.simulator import play as storms
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.events import EntryRecord, RewriteLog

ENTRIES_PER_SNAPSHOT = 12
SMALL_BOUNDS = Bounds(rewrite_entries=3, piece_bytes=1500, batch=16, slice_records=3)
POWER_FAULTS = ("all_down", "ack_power")


def set_small_bounds(monkeypatch, slice_records):
    """Take snapshots every few entries, in slices of few records and chunks of few bytes."""

    def make_bounds(**overrides):
        return Bounds(
            **{
                **overrides,
                "rewrite_entries": ENTRIES_PER_SNAPSHOT,
                "slice_records": slice_records,
                "piece_bytes": 2000,
            }
        )

    monkeypatch.setattr(replica_context, "Bounds", make_bounds)


@pytest.mark.parametrize("seed, closing", [(61, "power"), (62, "wipe"), (63, "kill")])
def test_invariants_hold_with_frequent_snapshots(monkeypatch, seed, closing):
    set_small_bounds(monkeypatch, 5)
    world, report = play(seed, storm_ms=9000, gap_ms=1500, closing=closing)
    assert [(b.rule, b.text) for b in report.broken] == []
    assert report.odd == []
    counts = [d.owner.ctx.core.synchrony.counts for d in world.of("storage")]
    assert sum(c.get("rewrites", 0) for c in counts) > 10


def play_power_failures(seed):
    return storms.play(seed, kinds=POWER_FAULTS, gap_ms=500, storm_ms=8000, bounds=SMALL_BOUNDS)[1]


@pytest.mark.parametrize("seed", range(1, 9))
def test_total_power_failures_lose_no_decided_operation_with_frequent_snapshots(seed):
    report = play_power_failures(seed)
    assert report.broken == [] and report.decided > 200


def write_without_tail(synchrony, out, encoded):
    """Compact the log, but drop the entries after the snapshot."""
    write_compacted_log(synchrony, out, encoded)
    out.writes[-1] = RewriteLog(tuple(r for r in out.writes[-1].records if not isinstance(r, EntryRecord)))


write_compacted_log = snapshotting.write_compacted_log


def test_compacted_log_without_tail_is_detected(monkeypatch):
    monkeypatch.setattr(snapshotting, "write_compacted_log", write_without_tail)
    assert play_power_failures(1).broken
