from glob import glob
from os.path import basename, dirname, join

import pytest

from frostpost.simulator.plants import planted
from frostpost.simulator.traces import load, replay_violations
from frostpost.simulator.world import create_world
from frostpost.virtual_synchrony import catch_up
from frostpost.virtual_synchrony.state import PrimaryState

TRACES = sorted(glob(join(dirname(__file__), "traces", "*.trace")))


@pytest.mark.parametrize("path", TRACES, ids=basename)
def test_recorded_trace_fails_only_with_its_planted_fault(path):
    trace = load(path)
    assert list(replay_violations(trace)) == []
    with planted(basename(path).split(".")[0]):
        assert list(replay_violations(trace)) != []


def test_required_traces_are_recorded():
    assert {basename(p) for p in TRACES} >= {"apply_before_open.trace", "forget_promise.trace"}


def test_ready_voter_that_has_not_applied_its_base_fetches_nothing():
    core = next(iter(create_world(1).nodes.values())).core
    core.synchrony.primary = PrimaryState(eligible=True, base=10, ready_record_number=5)
    assert core.synchrony.has_log and core.synchrony.applied < 10
    assert catch_up.first_missing_index(core.synchrony) == 0
    core.synchrony.primary.ready_record_number = -1
    assert catch_up.first_missing_index(core.synchrony) == 1
