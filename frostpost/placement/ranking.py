"""Ranking of the runners for one call: vetoes exclude runners, scores order the others."""

from hashlib import blake2b

from msgspec import Struct


class RunnerHealth(Struct):
    """A daemon's view of a runner: its last load report, its recent failures and the daemon's own calls in flight."""

    instance: str = ""
    load: float = 0.0
    room: int = 1
    prefixes: frozenset[str] = frozenset()
    leaving: bool = False
    reported_ms: int = -(1 << 40)
    failed_ms: int = -(1 << 40)
    failures: int = 0
    in_flight: int = 0


class Weights(Struct, frozen=True):
    """Weights of the scores.

    `stale_ms` is the age from which a load report is ignored, `rest_ms` the time per failure for which a failed runner
    is avoided.
    """

    prefix: float = 1.0
    load: float = 1.5
    zone: float = 0.3
    jitter: float = 0.2
    stale_ms: int = 5000
    rest_ms: int = 1000


class PlacementRequest(Struct, frozen=True):
    """A call to place.

    `history_digests` are the digests of its history's prefixes, `tried` the runners already tried, `leaving` the
    draining runner instances. Scores of equal runners vary with `jitter_key`.
    """

    pools: tuple[str, ...]
    zone: str
    history_digests: tuple[str, ...]
    jitter_key: str
    now_ms: int
    tried: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


def history_digests(lines):
    """Return a digest for each prefix of a history, as runners report them for their cached prefixes."""
    digests, previous = [], b""
    for line in lines:
        previous = blake2b(previous + line.input.encode() + b"\0" + line.output.encode(), digest_size=8).digest()
        digests.append(previous.hex())
    return tuple(digests)


def veto_pool(request, runner, health, weights):
    """Exclude a runner that is in none of the route's pools."""
    return runner.pool not in request.pools


def veto_tried(request, runner, health, weights):
    """Exclude a runner that was already tried for this call."""
    return runner.name in request.tried


def veto_leaving(request, runner, health, weights):
    """Exclude a draining runner."""
    return health.leaving or f"{runner.name}/{runner.instance}" in request.leaving


def veto_instance(request, runner, health, weights):
    """Exclude a listed instance that is not the one whose load report was received."""
    return bool(health.instance) and health.instance != runner.instance


def veto_full(request, runner, health, weights):
    """Exclude a runner on which this daemon already has as many calls as the runner accepts."""
    return health.in_flight >= runner.room


def veto_resting(request, runner, health, weights):
    """Exclude a runner that failed recently; the time grows with the number of failures, up to five."""
    rest_ms = weights.rest_ms * min(health.failures, 5)
    return health.failures > 0 and request.now_ms - health.failed_ms < rest_ms


VETOES = (veto_pool, veto_tried, veto_leaving, veto_instance, veto_full, veto_resting)


def score_prefix(request, runner, health, weights):
    """Prefer runners that have a longer prefix of the history cached."""
    if not request.history_digests:
        return 0.0
    cached = 0
    for digest in request.history_digests:
        if digest not in health.prefixes:
            break
        cached += 1
    return weights.prefix * cached / len(request.history_digests)


def score_load(request, runner, health, weights):
    """Prefer runners with less load; a stale report counts as a load of 1."""
    fresh = request.now_ms - health.reported_ms < weights.stale_ms
    reported = health.load if fresh else 1.0
    return -weights.load * max(reported, health.in_flight) / max(1, runner.room)


def score_zone(request, runner, health, weights):
    """Prefer runners in the caller's zone."""
    return weights.zone if runner.zone == request.zone else 0.0


def score_jitter(request, runner, health, weights):
    """Spread calls over equal runners by a digest of call and runner, the same on each attempt."""
    digest = blake2b(f"{request.jitter_key}/{runner.name}".encode(), digest_size=2).digest()
    return weights.jitter * int.from_bytes(digest, "big") / 65535


SCORES = (score_prefix, score_load, score_zone, score_jitter)


def explain(request, runners, runner_health, weights):
    """Return a tuple of runner, names of its vetoes, scores by name and total score for each runner."""
    rows = []
    for runner in runners:
        health = runner_health.get(runner.name) or RunnerHealth()
        vetoes = [veto.__name__ for veto in VETOES if veto(request, runner, health, weights)]
        scores = {score.__name__: round(score(request, runner, health, weights), 4) for score in SCORES}
        rows.append((runner, vetoes, scores, sum(scores.values())))
    return rows


def rank(request, runners, runner_health, weights):
    """Return the runners without a veto, best first; if there is none, those excluded only by recent failures."""
    explained = explain(request, runners, runner_health, weights)
    rows = [entry for entry in explained if not entry[1]] or [
        entry for entry in explained if entry[1] == [veto_resting.__name__]
    ]
    return [row[0] for row in sorted(rows, key=lambda row: (-row[3], row[0].name))]
