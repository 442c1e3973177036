import pytest

from frostpost.simulator import whole_path
from frostpost.simulator.http_plants import HTTP_PLANTS, planted

SHORT_RUN = {"storm_ms": 6000, "gap_ms": 700, "factor": 0.25}
DETECTION_CASES = {
    "retry_once": ("twice", ("misbehave", "freeze_runner"), 3, {}),
    "key_freed": ("key_twice", ("misbehave",), 1, {}),
    "partial_taken": ("partial_as_whole", ("misbehave",), 1, {}),
    "splice": ("stream", ("misbehave",), 1, {}),
    "spend_nothing": ("budget", ("kill",), 1, {}),
    "end_first": ("history", ("power_after_end",), 4, {}),
    "ack_at_once": ("config", ("large_config", "amend"), 3, {"prepare": whole_path.slow_edge}),
    "no_lease": ("config", ("freeze_edge", "amend"), 2, {"factor": 0.5}),
    "heed_nothing": ("both_acked", ("amend",), 3, {}),
    "send_leaving": ("leaving", ("drain", "runner_leaves"), 1, {}),
    "any_service": ("not_allowed", ("replace",), 1, {}),
    "leave_early": ("dropped", ("roll",), 1, {"prepare": whole_path.slow_runners, "planned": True}),
    "lose_bodies": ("back", ("all_down",), 1, {}),
    "last_result": ("wrong_answer", ("kill",), 1, {}),
    "deny_run": ("ran_after_refusal", ("misbehave",), 1, {}),
}


def test_every_planted_http_fault_has_a_detection_case():
    assert set(DETECTION_CASES) == set(HTTP_PLANTS)


@pytest.mark.parametrize("plant", sorted(DETECTION_CASES))
def test_planted_http_fault_is_detected(plant):
    rule, fault_kinds, first_seed, options = DETECTION_CASES[plant]
    violated = set()
    for seed in range(first_seed, first_seed + 5):
        with planted(plant):
            _, report = whole_path.play(seed, kinds=fault_kinds, **{**SHORT_RUN, **options})
        violated |= {b.never for b in report.broken}
        if rule in violated:
            return
    raise AssertionError(f"{plant} was not detected; violated rules: {violated}")


@pytest.mark.parametrize("seed", range(1, 9))
def test_no_rule_is_violated_under_all_faults(seed):
    _, report = whole_path.play(seed)
    assert report.broken == []
    assert report.callers["results"]["served"] > 100


@pytest.mark.parametrize("seed", range(101, 105))
def test_no_rule_is_violated_during_planned_maintenance(seed):
    _, report = whole_path.play(seed, planned=True)
    assert report.broken == []
    assert report.callers["results"]["served"] > 200


def test_same_seed_gives_the_same_trace():
    first, _ = whole_path.play(3, storm_ms=3000)
    second, _ = whole_path.play(3, storm_ms=3000)
    assert first.notes.lines == second.notes.lines
    assert first.runner_notes.lines == second.runner_notes.lines
