"""Rank the runners for one call: a runner with a veto is left out, the others are ordered by score."""

from hashlib import blake2b

from msgspec import Struct


class RunnerHealth(Struct):
    """What a daemon knows of a runner's health: its last load report, recent failures and own calls in flight."""

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
    """Weights of the scores; times in milliseconds."""

    prefix: float = 1.0
    load: float = 1.5
    zone: float = 0.3
    jitter: float = 0.2
    stale_ms: int = 5000
    rest_ms: int = 1000


class PlacementRequest(Struct, frozen=True):
    """A call to place: its pools, zone, history digests, and what is excluded."""

    pools: tuple[str, ...]
    zone: str
    history_digests: tuple[str, ...]
    jitter_key: str
    now_ms: int
    tried: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


def history_digests(lines):
    """Return a digest for each prefix of a history, as runners report for what they have cached."""
    digests, last = [], b""
    for line in lines:
        last = blake2b(last + line.input.encode() + b"\0" + line.output.encode(), digest_size=8).digest()
        digests.append(last.hex())
    return tuple(digests)


def veto_pool(request, runner, health, weights):
    """The runner is in none of the pools that the route names."""
    return runner.pool not in request.pools


def veto_tried(request, runner, health, weights):
    """The runner was tried for this call before."""
    return runner.name in request.tried


def veto_leaving(request, runner, health, weights):
    """The runner is draining."""
    return health.leaving or f"{runner.name}/{runner.instance}" in request.leaving


def veto_instance(request, runner, health, weights):
    """Another instance reports under the runner's name."""
    return bool(health.instance) and health.instance != runner.instance


def veto_full(request, runner, health, weights):
    """This daemon already has as many calls there as the runner takes."""
    return health.in_flight >= runner.room


def veto_resting(request, runner, health, weights):
    """The runner failed lately; the rest grows with the number of failures."""
    rest_ms = weights.rest_ms * min(health.failures, 5)
    return health.failures > 0 and request.now_ms - health.failed_ms < rest_ms


VETOES = (veto_pool, veto_tried, veto_leaving, veto_instance, veto_full, veto_resting)


def score_prefix(request, runner, health, weights):
    """Prefer runners that have the longest prefix of the history cached."""
    if not request.history_digests:
        return 0.0
    held = 0
    for digest in request.history_digests:
        if digest not in health.prefixes:
            break
        held += 1
    return weights.prefix * held / len(request.history_digests)


def score_load(request, runner, health, weights):
    """Prefer runners with less load; a stale report counts as one unit of load."""
    fresh = request.now_ms - health.reported_ms < weights.stale_ms
    reported = health.load if fresh else 1.0
    return -weights.load * max(reported, health.in_flight) / max(1, runner.room)


def score_zone(request, runner, health, weights):
    """Prefer runners in the caller's zone."""
    return weights.zone if runner.zone == request.zone else 0.0


def score_jitter(request, runner, health, weights):
    """Spread equal choices by a digest of call and runner, the same on every try."""
    spot = blake2b(f"{request.jitter_key}/{runner.name}".encode(), digest_size=2).digest()
    return weights.jitter * int.from_bytes(spot, "big") / 65535


SCORES = (score_prefix, score_load, score_zone, score_jitter)


def explain(request, runners, runner_health, weights):
    """Return (runner, vetoes, scores, total) for each runner."""
    rows = []
    for runner in runners:
        health = runner_health.get(runner.name) or RunnerHealth()
        vetoes = [v.__name__ for v in VETOES if v(request, runner, health, weights)]
        scores = {s.__name__: round(s(request, runner, health, weights), 4) for s in SCORES}
        rows.append((runner, vetoes, scores, sum(scores.values())))
    return rows


def rank(request, runners, runner_health, weights):
    """Return the runners without a veto, best first; if none is left, those that are only resting."""
    judged = explain(request, runners, runner_health, weights)
    rows = [r for r in judged if not r[1]] or [r for r in judged if r[1] == [veto_resting.__name__]]
    return [row[0] for row in sorted(rows, key=lambda row: (-row[3], row[0].name))]
