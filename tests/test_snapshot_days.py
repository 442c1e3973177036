"""Whole simulated days with a snapshot every few entries: the real keepers rewrite their logs beside the appends."""

import pytest
from fleet_simulator.play import play

from frostpost.cluster import replica_context
from frostpost.daemon import snapshotting
from frostpost.simulator import play as storms
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.events import EntryRecord, RewriteLog

LOG_ENTRIES = 12
TINY = Bounds(rewrite_entries=3, piece_bytes=1500, batch=16, slice_records=3)
POWER = ("all_down", "ack_power")


def often(monkeypatch, slice_records):
    """Snapshots every few entries, in slices of few records and pieces of few bytes."""

    def bounds(**named):
        return Bounds(**{**named, "rewrite_entries": LOG_ENTRIES, "slice_records": slice_records, "piece_bytes": 2000})

    monkeypatch.setattr(replica_context, "Bounds", bounds)


@pytest.mark.parametrize("seed, closing", [(61, "power"), (62, "wipe"), (63, "kill")])
def test_no_rule_breaks_with_snapshots_at_every_boundary(monkeypatch, seed, closing):
    often(monkeypatch, 5)
    world, report = play(seed, storm_ms=9000, gap_ms=1500, closing=closing)
    assert [(b.rule, b.text) for b in report.broken] == []
    assert report.odd == []
    counts = [d.owner.ctx.core.synchrony.counts for d in world.of("storage")]
    assert sum(c.get("rewrites", 0) for c in counts) > 10


def power_days(seed):
    return storms.play(seed, kinds=POWER, gap_ms=500, storm_ms=8000, bounds=TINY)[1]


@pytest.mark.parametrize("seed", range(1, 9))
def test_losses_of_all_power_cost_nothing_that_was_decided_with_snapshots_at_every_boundary(seed):
    report = power_days(seed)
    assert report.broken == [] and report.decided > 200


def without_tail(synchrony, out, taken):
    """A rewritten log loses the entries after the snapshot."""
    write_snapshot(synchrony, out, taken)
    out.writes[-1] = RewriteLog(tuple(r for r in out.writes[-1].records if not isinstance(r, EntryRecord)))


write_snapshot = snapshotting.write_snapshot


def test_a_rewritten_log_without_its_tail_is_found(monkeypatch):
    monkeypatch.setattr(snapshotting, "write_snapshot", without_tail)
    assert power_days(1).broken
