import pytest

from frostpost.simulator import whole
from frostpost.simulator.doorplants import DOORS, planted

SHORT = {"stormMs": 6000, "gapMs": 700, "factor": 0.25}
PLANTED = {
    "retryOnce": ("twice", ("misbehave", "freezeRunner"), 3, {}),
    "keyFreed": ("keyTwice", ("misbehave",), 1, {}),
    "partialTaken": ("partialAsWhole", ("misbehave",), 1, {}),
    "splice": ("stream", ("misbehave",), 1, {}),
    "spendNothing": ("budget", ("kill",), 1, {}),
    "endFirst": ("history", ("powerAfterEnd",), 4, {}),
    "ackAtOnce": ("config", ("largeConfig", "amend"), 3, {"prepare": whole.slowEdge}),
    "noLease": ("config", ("freezeEdge", "amend"), 2, {"factor": 0.5}),
    "heedNothing": ("bothAcked", ("amend",), 3, {}),
    "sendLeaving": ("leaving", ("drain", "runnerLeaves"), 1, {}),
    "anyService": ("notAllowed", ("replace",), 1, {}),
    "leaveEarly": ("dropped", ("roll",), 1, {"prepare": whole.slowRunners, "planned": True}),
    "loseBodies": ("back", ("allDown",), 1, {}),
    "lastVerdict": ("wrongAnswer", ("kill",), 1, {}),
    "denyRun": ("ranAfterTurnedAway", ("misbehave",), 1, {}),
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
    assert report.callers["verdicts"]["served"] > 100


@pytest.mark.parametrize("seed", range(101, 105))
def test_planned_work_drops_nothing(seed):
    _, report = whole.play(seed, planned=True)
    assert report.broken == []
    assert report.callers["verdicts"]["served"] > 200


def test_the_same_seed_tells_the_same_story():
    first, _ = whole.play(3, stormMs=3000)
    second, _ = whole.play(3, stormMs=3000)
    assert first.notes.lines == second.notes.lines
    assert first.runnerNotes.lines == second.runnerNotes.lines
