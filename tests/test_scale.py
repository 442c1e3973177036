"""The scale run works, and what a leaf costs doesn't grow with the number of leaves."""

import subprocess
import sys

import pytest
from msgspec import json

from frostpost.testbed import scale_slopes

RUN = [sys.executable, "-m", "frostpost", "scale", "run"]


def scale_run(**options):
    words = [word for name, value in options.items() for word in (f"--{name}", str(value))]
    done = subprocess.run([*RUN, *words], capture_output=True, timeout=60, check=False)
    assert done.returncode == 0, done.stdout.decode() + done.stderr.decode()[-3000:]
    return json.decode(done.stdout)


def sequencer(report):
    return next(ring for ring in report["rings"] if ring["sequencing"])


@pytest.mark.xdist_group("scale")
def test_a_leaf_costs_the_same_beside_more_leaves_and_what_leaves_hand_in_is_decided():
    few, many = scale_run(leaves=8, rate=40, seconds=1, warm=0.3), scale_run(leaves=24, seconds=1, warm=0.3)
    renews = [report["agent"]["per_s"]["kind/LeaseRequest"] for report in (few, many)]
    grants = [sequencer(report)["per_s"]["kind/LeaseReply"] / (report["leaves"] + 1) for report in (few, many)]
    beats = [sequencer(report)["per_s"]["kind/Heartbeat"] for report in (few, many)]
    assert 0 < renews[1] < 1.5 * renews[0] and renews[1] <= 6
    assert 0 < grants[1] < 1.5 * grants[0] and 0 < beats[1] < 1.5 * beats[0]
    idle = many["agent"]["per_s"]
    assert idle["wire/sent"] <= 6 and idle["wire/heard"] <= 6
    assert idle["wire/sent_bytes"] + idle["wire/heard_bytes"] < 1000
    assert sequencer(many)["sessions"] == 25
    assert few["outcomes"]["AttemptBegun"] > 3 and few["outcomes"]["AttemptEnded"] > 6 and few["outcomes"]["Synced"] > 3
    assert all(0 < report["routing_ms"] < 4000 for report in (few, many))
    assert few["begin_ms"]["p50"] > 0 and few["put_ms"]["p50"] > 0
    assert all(ring["ledger"]["turns"] > 3 and ring["ledger"]["bytes"] > 1000 for ring in few["rings"])


def test_the_ledgers_slopes_are_measured_for_each_turn():
    ledger, program_ledger = scale_slopes.measure_ledger(20, 10)
    assert ledger["turns"] == len(program_ledger.turns) == 200
    assert 50 < ledger["snapshot_bytes_per_turn"] < 500
    sizes = scale_slopes.measure_candidates((8, 32))
    assert sizes["8"]["begin_bytes"] < sizes["32"]["begin_bytes"] < 4 * sizes["8"]["begin_bytes"]


def test_a_body_that_the_slopes_put_is_read_again(tmp_path):
    found = scale_slopes.measure_turn_store(str(tmp_path), 1000, 20, 5)
    assert found["bodies"] == 20 and found["put_cpu_us"] > 0 and found["get_cpu_us"] > 0
