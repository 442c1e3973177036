"""A fleet whose agents all read the list at the same moment still learns in time of each runner that drains."""

from random import Random

import pytest
from fleet_simulator import judge, troubles, works
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds

EDGES_PER_ZONE = 16
REQUEST_GAP_MS = 10
# The kill of all edges puts their readings in step; a runner's drain is shown so long after their new start.
SHOWN_AFTER_MS = (1200, 1800, 2400)


def restart_edges(world):
    """All edges die and start again at the same moment."""
    edges = world.of("edge")
    trouble = troubles.begin(world, "kill", [daemon.name for daemon in edges])
    for daemon in edges:
        worlds.kill(world, daemon)
        world.later(worlds.RESTART_MS, troubles.back, world, daemon, trouble)


@pytest.mark.parametrize("after_ms", SHOWN_AFTER_MS)
def test_a_drain_shown_after_all_agents_read_in_step_is_known_in_time(after_ms):
    world, _, status, took_ms = plays.open_(11, worlds.Shape(edges=EDGES_PER_ZONE))
    assert status == 200 and took_ms >= 0
    crowd, contact_ms = plays.crowd_of(world, "c"), world.notes.sheet["contact"]
    restart_edges(world)
    from_ms = world.now_ms() + worlds.RESTART_MS
    world.later(worlds.RESTART_MS + after_ms - world.listing.lag_ms, works.drain_runner, world, Random(3))
    world.run(from_ms + after_ms + contact_ms)
    crowd.arrive(world.now_ms() + 2000, REQUEST_GAP_MS)
    world.run(world.now_ms() + 2500)
    served = [run for run in world.notes.runs if run.at_ms > from_ms + contact_ms]
    assert len(served) > 200
    assert [b.text for b in judge.dispatches_after_drain(world, {t.try_id: t for t in world.notes.tries})] == []
