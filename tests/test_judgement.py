from frostpost.ledger.entities import Runner
from frostpost.placement.ranking import PlacementRequest, RunnerHealth, Weights, rank

RUNNERS = [Runner(n, "i", "127.0.0.1", 1, "pool", "a", 4) for n in ("r1", "r2")]
REQUEST = PlacementRequest(("pool",), "a", (), "salt", 1000)


def ranked_names(runner_health):
    return [r.name for r in rank(REQUEST, RUNNERS, runner_health, Weights())]


def test_resting_runner_is_skipped_while_another_is_available():
    assert ranked_names({"r1": RunnerHealth(failures=1, failed_ms=900)}) == ["r2"]


def test_resting_runners_are_used_if_no_other_is_available():
    runner_health = {n: RunnerHealth(failures=1, failed_ms=900) for n in ("r1", "r2")}
    assert sorted(ranked_names(runner_health)) == ["r1", "r2"]
    runner_health["r1"].leaving = True
    assert ranked_names(runner_health) == ["r2"]


def test_drained_runner_is_never_used():
    request = PlacementRequest(("pool",), "a", (), "salt", 1000, leaving=frozenset({"r1/i"}))
    assert [r.name for r in rank(request, RUNNERS, {}, Weights())] == ["r2"]
