"""Rank the runners for one call: a runner with a veto is left out, the others are ordered by score."""

from hashlib import blake2b

from msgspec import Struct


class Status(Struct):
    """What a daemon knows of a runner's health: its last load report, recent failures and own calls in flight."""

    instance: str = ""
    load: float = 0.0
    room: int = 1
    prefixes: frozenset[str] = frozenset()
    leaving: bool = False
    heard_ms: int = -(1 << 40)
    fault_ms: int = -(1 << 40)
    faults: int = 0
    in_flight: int = 0


class Weights(Struct, frozen=True):
    """Weights of the scores; times in milliseconds."""

    prefix: float = 1.0
    load: float = 1.5
    cell: float = 0.3
    jitter: float = 0.2
    stale_ms: int = 5000
    rest_ms: int = 1000


class Question(Struct, frozen=True):
    """A call to place: its pools, zone, history digests, and what is excluded."""

    pools: tuple[str, ...]
    cell: str
    chain: tuple[str, ...]
    salt: str
    now_ms: int
    tried: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


def chain_of(lines):
    """Return a digest for each prefix of a history, as runners report for what they have cached."""
    digests, last = [], b""
    for line in lines:
        last = blake2b(last + line.input.encode() + b"\0" + line.output.encode(), digest_size=8).digest()
        digests.append(last.hex())
    return tuple(digests)


def veto_pool(question, runner, status, weights):
    """The runner is in none of the pools that the route names."""
    return runner.pool not in question.pools


def veto_tried(question, runner, status, weights):
    """The runner was tried for this call before."""
    return runner.name in question.tried


def veto_leaving(question, runner, status, weights):
    """The runner is draining."""
    return status.leaving or f"{runner.name}/{runner.instance}" in question.leaving


def veto_instance(question, runner, status, weights):
    """Another instance reports under the runner's name."""
    return bool(status.instance) and status.instance != runner.instance


def veto_full(question, runner, status, weights):
    """This daemon already has as many calls there as the runner takes."""
    return status.in_flight >= runner.room


def veto_resting(question, runner, status, weights):
    """The runner failed lately; the rest grows with the number of failures."""
    rest_ms = weights.rest_ms * min(status.faults, 5)
    return status.faults > 0 and question.now_ms - status.fault_ms < rest_ms


VETOES = (veto_pool, veto_tried, veto_leaving, veto_instance, veto_full, veto_resting)


def score_prefix(question, runner, status, weights):
    """Prefer runners that have the longest prefix of the history cached."""
    if not question.chain:
        return 0.0
    held = 0
    for digest in question.chain:
        if digest not in status.prefixes:
            break
        held += 1
    return weights.prefix * held / len(question.chain)


def score_load(question, runner, status, weights):
    """Prefer runners with less load; a stale report counts as one unit of load."""
    fresh = question.now_ms - status.heard_ms < weights.stale_ms
    reported = status.load if fresh else 1.0
    return -weights.load * max(reported, status.in_flight) / max(1, runner.room)


def score_cell(question, runner, status, weights):
    """Prefer runners in the caller's zone."""
    return weights.cell if runner.cell == question.cell else 0.0


def score_jitter(question, runner, status, weights):
    """Spread equal choices by a digest of call and runner, the same on every try."""
    spot = blake2b(f"{question.salt}/{runner.name}".encode(), digest_size=2).digest()
    return weights.jitter * int.from_bytes(spot, "big") / 65535


SCORES = (score_prefix, score_load, score_cell, score_jitter)


def explain(question, runners, statuses, weights):
    """Return (runner, vetoes, scores, total) for each runner."""
    rows = []
    for runner in runners:
        status = statuses.get(runner.name) or Status()
        vetoes = [v.__name__ for v in VETOES if v(question, runner, status, weights)]
        scores = {s.__name__: round(s(question, runner, status, weights), 4) for s in SCORES}
        rows.append((runner, vetoes, scores, sum(scores.values())))
    return rows


def rank(question, runners, statuses, weights):
    """Return the runners without a veto, best first; if none is left, those that are only resting."""
    judged = explain(question, runners, statuses, weights)
    rows = [r for r in judged if not r[1]] or [r for r in judged if r[1] == [veto_resting.__name__]]
    return [row[0] for row in sorted(rows, key=lambda row: (-row[3], row[0].name))]
