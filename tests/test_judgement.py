from frostpost.ledger.entities import Runner
from frostpost.placement.ranking import PlacementRequest, RunnerHealth, Weights, rank

RUNNERS = [Runner(n, "i", "127.0.0.1", 1, "pool", "a", 4) for n in ("r1", "r2")]
ASKED = PlacementRequest(("pool",), "a", (), "salt", 1000)


def names(runner_health):
    return [r.name for r in rank(ASKED, RUNNERS, runner_health, Weights())]


def test_a_resting_runner_is_passed_over_while_another_may_run():
    assert names({"r1": RunnerHealth(failures=1, failed_ms=900)}) == ["r2"]


def test_resting_runners_are_asked_rather_than_nobody():
    resting = {n: RunnerHealth(failures=1, failed_ms=900) for n in ("r1", "r2")}
    assert sorted(names(resting)) == ["r1", "r2"]
    resting["r1"].leaving = True
    assert names(resting) == ["r2"]


def test_a_drained_runner_is_not_asked_at_all():
    asked = PlacementRequest(("pool",), "a", (), "salt", 1000, leaving=frozenset({"r1/i"}))
    assert [r.name for r in rank(asked, RUNNERS, {}, Weights())] == ["r2"]
