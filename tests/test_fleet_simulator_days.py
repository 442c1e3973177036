import pytest
from fleet_simulator.play import play
from fleet_simulator.shapes import SHAPES

PLANNED = ("add_nodes", "scale_in", "retire", "roll_term", "roll_storage")


def clean(report):
    assert [(b.rule, b.text) for b in report.broken] == []
    assert report.odd == []


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 8])
def test_no_rule_breaks_in_a_storm(seed):
    clean(play(seed, storm_ms=9000, gap_ms=1800)[1])


@pytest.mark.parametrize("shape", [name for name in SHAPES if name != "three"])
def test_no_rule_breaks_on_a_deployment_of_another_shape(shape):
    clean(play(11, SHAPES[shape], storm_ms=7000, gap_ms=1800)[1])


@pytest.mark.parametrize("closing", ["power", "kill", "wipe"])
def test_what_was_acknowledged_outlasts_a_closing_fault(closing):
    clean(play(21, kinds=[], storm_ms=3000, closing=closing)[1])


@pytest.mark.parametrize("seed", [22, 23, 24, 25])
def test_what_was_acknowledged_outlasts_lost_disks_while_all_others_lose_power(seed):
    clean(play(seed, kinds=[], storm_ms=2000, closing="wipe")[1])


def test_planned_work_cuts_no_request_off():
    clean(play(31, kinds=PLANNED, storm_ms=12000, closing="none", odds={})[1])


def test_a_calm_day_serves_nearly_all_and_takes_every_change():
    _, report = play(41, kinds=[], storm_ms=5000, closing="none", odds={})
    clean(report)
    good = report.tries.get(200, 0) + report.tries.get(402, 0) + report.tries.get(404, 0)
    assert good * 100 > sum(report.tries.values()) * 97
    assert set(report.acks) <= {"acked", "400", "412"}


def test_a_seed_plays_the_same_day_again():
    first, second = (play(51, storm_ms=4000, closing="none")[1] for _ in range(2))
    assert (first.tries, first.trace, first.runs) == (second.tries, second.trace, second.runs)
