import pytest

from frostpost.simulator import whole
from frostpost.simulator.doorplants import DOORS, planted

SHORT = {"storm_ms": 6000, "gap_ms": 700, "factor": 0.25}
PLANTED = {
    "retry_once": ("twice", ("misbehave", "freeze_runner"), 3, {}),
    "key_freed": ("key_twice", ("misbehave",), 1, {}),
    "partial_taken": ("partial_as_whole", ("misbehave",), 1, {}),
    "splice": ("stream", ("misbehave",), 1, {}),
    "spend_nothing": ("budget", ("kill",), 1, {}),
    "end_first": ("history", ("power_after_end",), 4, {}),
    "ack_at_once": ("config", ("large_config", "amend"), 3, {"prepare": whole.slow_edge}),
    "no_lease": ("config", ("freeze_edge", "amend"), 2, {"factor": 0.5}),
    "heed_nothing": ("both_acked", ("amend",), 3, {}),
    "send_leaving": ("leaving", ("drain", "runner_leaves"), 1, {}),
    "any_service": ("not_allowed", ("replace",), 1, {}),
    "leave_early": ("dropped", ("roll",), 1, {"prepare": whole.slow_runners, "planned": True}),
    "lose_bodies": ("back", ("all_down",), 1, {}),
    "last_result": ("wrong_answer", ("kill",), 1, {}),
    "deny_run": ("ran_after_refusal", ("misbehave",), 1, {}),
}


def test_every_door_plant_has_its_never():
    assert set(PLANTED) == set(DOORS)


@pytest.mark.parametrize("plant", sorted(PLANTED))
def test_a_fault_planted_at_the_doors_is_caught(plant):
    never, kinds, first, more = PLANTED[plant]
    seen = set()
    for seed in range(first, first + 5):
        with planted(plant):
            _, report = whole.play(seed, kinds=kinds, **{**SHORT, **more})
        seen |= {b.never for b in report.broken}
        if never in seen:
            return
    raise AssertionError(f"{plant} was not caught; seen {seen}")


@pytest.mark.parametrize("seed", range(1, 9))
def test_all_faults_on_the_whole_path(seed):
    _, report = whole.play(seed)
    assert report.broken == []
    assert report.callers["results"]["served"] > 100


@pytest.mark.parametrize("seed", range(101, 105))
def test_planned_work_drops_nothing(seed):
    _, report = whole.play(seed, planned=True)
    assert report.broken == []
    assert report.callers["results"]["served"] > 200


def test_the_same_seed_tells_the_same_story():
    first, _ = whole.play(3, storm_ms=3000)
    second, _ = whole.play(3, storm_ms=3000)
    assert first.notes.lines == second.notes.lines
    assert first.runner_notes.lines == second.runner_notes.lines
