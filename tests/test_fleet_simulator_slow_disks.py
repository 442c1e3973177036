"""Days on which a storage machine's disk is slow, alone or while the leader is lost."""

from itertools import pairwise

import pytest
from fleet_simulator import bearing, play, troubles
from fleet_simulator import stage as plays
from fleet_simulator import world as worlds
from fleet_simulator.shapes import SHAPES

SLOW_DISK_MS = 360
SLOW_FOR_MS = 5000
REQUEST_GAP_MS = 40
DOWN_MS = 2500
LONGEST_REST_MS = 500
# Of the requests served in calm times, beside what chance does to a few hundred.
MOST_WORSE = 0.05


def slow_disk(world, daemon):
    """One disk turns slow, but never slow enough to be given up on."""
    trouble = troubles.begin(world, "slow disk", [daemon.name])
    daemon.disk.delay_ms = SLOW_DISK_MS

    def quick():
        daemon.disk.delay_ms = worlds.DISK_MS
        troubles.over(world, trouble)

    world.later(SLOW_FOR_MS, quick)


def lose(world, daemon, wiped):
    trouble = troubles.begin(world, "wipe" if wiped else "kill", [daemon.name])
    (worlds.wipe if wiped else lambda w, d: worlds.kill(w, d, True))(world, daemon)
    world.later(DOWN_MS, troubles.back, world, daemon, trouble)


def longest_rest_ms(world, from_ms, until_ms):
    """The longest time in which no answer of a request was complete and good."""
    ended = [t.ended_ms for t in world.notes.tries if t.whole and t.status == 200 and from_ms < t.ended_ms < until_ms]
    return max(b - a for a, b in pairwise([from_ms, *sorted(ended), until_ms]))


def served_ratio(world, from_ms, until_ms):
    sent = [t for t in world.notes.tries if from_ms <= t.sent_ms < until_ms]
    return sum(t.whole and t.status == 200 for t in sent) / len(sent)


def invariant_violations(world, operator):
    document = plays.await_(world, operator.read(world.now_ms() + 5000), 6000)
    return [b.text for b in play.invariant_violations(world, document)]


@pytest.mark.parametrize("shape", ["three", "two"])
@pytest.mark.parametrize("on", ["leader", "another"])
def test_a_slow_disk_alone_is_hardly_noticed(shape, on):
    world, operators, status, _ = plays.open_(7, SHAPES[shape])
    assert status == 200
    crowd, calm_ms = plays.crowd_of(world, "c"), world.now_ms()
    slow_ms = calm_ms + SLOW_FOR_MS
    crowd.arrive(slow_ms + SLOW_FOR_MS, REQUEST_GAP_MS)
    world.run(slow_ms)
    leader = bearing.leader(world, "storage")
    slow_disk(world, leader if on == "leader" else next(d for d in world.of("storage") if d is not leader))
    world.run(slow_ms + SLOW_FOR_MS + 4000)
    assert longest_rest_ms(world, slow_ms, slow_ms + SLOW_FOR_MS) < LONGEST_REST_MS
    calm, slow = (served_ratio(world, at_ms, at_ms + SLOW_FOR_MS) for at_ms in (calm_ms, slow_ms))
    assert slow > calm - MOST_WORSE
    assert invariant_violations(world, operators[0]) == []


@pytest.mark.parametrize("seed", [7, 8, 9])
def test_the_leader_is_lost_while_a_disk_is_slow_and_two_voters_have_just_been_wiped(seed):
    world, operators, status, _ = plays.open_(seed, SHAPES["two"])
    assert status == 200
    crowd, from_ms = plays.crowd_of(world, "c"), world.now_ms()
    crowd.arrive(from_ms + 16000, REQUEST_GAP_MS)
    others = [d for d in world.of("storage") if d is not bearing.leader(world, "storage")]
    for daemon in others[:2]:
        lose(world, daemon, wiped=True)
    world.run(from_ms + DOWN_MS + bearing.CATCH_UP_MS + 3000)
    leader = bearing.leader(world, "storage")
    slow_disk(world, next(d for d in world.of("storage") if d is not leader))
    world.run(world.now_ms() + 200)
    lost_ms = world.now_ms()
    lose(world, leader, wiped=False)
    world.run(lost_ms + 12000)
    assert longest_rest_ms(world, lost_ms, lost_ms + 5000) < 2000
    assert served_ratio(world, lost_ms + 1500, lost_ms + 5000) > 0.85
    assert invariant_violations(world, operators[0]) == []
