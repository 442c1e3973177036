from glob import glob
from os.path import basename, dirname, join

import pytest

from frostpost.virtual_synchrony import settling
from frostpost.virtual_synchrony.state import Primary
from frostpost.simulator.plants import planted
from frostpost.simulator.traces import load, play
from frostpost.simulator.world import make

TRACES = sorted(glob(join(dirname(__file__), "traces", "*.trace")))


@pytest.mark.parametrize("path", TRACES, ids=basename)
def test_recorded_fault_does_not_come_back(path):
    trace = load(path)
    assert list(play(trace)) == []
    with planted(basename(path).split(".")[0]):
        assert list(play(trace)) != []


def test_there_are_traces():
    assert {basename(p) for p in TRACES} >= {"applyBeforeOpen.trace", "forgetPromise.trace"}


def test_a_ready_voter_that_has_not_applied_its_base_fetches_nothing():
    core = next(iter(make(1).nodes.values())).core
    core.hedge.primary = Primary(able=True, base=10, readyAt=5)
    assert core.hedge.storage and core.hedge.applied < 10
    assert settling.lacking(core.hedge) == 0
    core.hedge.primary.readyAt = -1
    assert settling.lacking(core.hedge) == 1
