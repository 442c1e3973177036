"""Compare placement policies in a small simulation of runners with prefix caches."""

import sys
from heapq import heappop, heappush
from random import Random
from typing import Annotated

import cappa
from msgspec import Struct, json

from frostpost.ledger.entities import Runner
from frostpost.ledger.programs import history_entry
from frostpost.placement.ranking import PlacementRequest, RunnerHealth, Weights, history_digests, rank

POLICIES = {
    "ours": Weights(),
    "no_jitter": Weights(jitter=0.0),
    "least_load": Weights(prefix=0.0, zone=0.0, jitter=0.001),
    "random": Weights(prefix=0.0, load=0.0, zone=0.0, jitter=1.0),
}
SPAN_S, REPORT_S, THINK_S = 60.0, 0.5, 0.4
START_MS, LINE_MS, PIECE_MS, SLOW_MS = 40.0, 60.0, 20.0, 15.0


class Back(Struct):
    """A runner with its cache and calls."""

    runner: Runner
    held: dict = {}
    running: int = 0
    most: int = 0
    total: int = 0


class Tally(Struct):
    """Counts of one simulation."""

    hits: int = 0
    lines: int = 0
    took: list = []
    turned: int = 0


def remember(back, chain, room=300):
    """Put a history's digests into a runner's cache; the oldest drop out."""
    for digest in chain:
        back.held.pop(digest, None)
        back.held[digest] = True
    while len(back.held) > room:
        back.held.pop(next(iter(back.held)))


def report(daemons, backs, now_ms):
    """Give every daemon every runner's load report."""
    for runner_health in daemons:
        for back in backs:
            held = runner_health[back.runner.name]
            held.load, held.reported_ms = float(back.running), now_ms
            held.prefixes = frozenset(back.held)


def simulate(weights, seed, per_second=24.0, daemons_many=8, runners_many=9, room=24):
    """Play programs against runners; return (runners, counts)."""
    random, tally, events, serial = Random(seed), Tally(), [], 0
    backs = [Back(Runner(f"r{n}", f"i{n}", "", n, "pool", "abc"[n % 3], room)) for n in range(runners_many)]
    daemons = [{b.runner.name: RunnerHealth(instance=b.runner.instance) for b in backs} for _ in range(daemons_many)]

    def push(at_s, kind, *rest):
        nonlocal serial
        serial += 1
        heappush(events, (at_s, serial, kind, rest))

    push(0.0, "report")
    push(0.0, "program")
    while events:
        now_s, _, kind, rest = heappop(events)
        if now_s > SPAN_S:
            break
        if kind == "report":
            report(daemons, backs, int(now_s * 1000))
            push(now_s + REPORT_S, "report")
        elif kind == "program":
            push(now_s + random.expovariate(per_second), "program")
            shared = [history_entry(f"prompt {random.randrange(6)} part {n}", "ok") for n in range(2)]
            push(now_s, "turn", f"p{serial}", shared, 2 + random.randrange(4))
        elif kind == "turn":
            turn(now_s, rest, weights, random, backs, daemons, tally, push)
        else:
            back, health, name, lines, left = rest
            back.running -= 1
            health.in_flight -= 1
            lines = [*lines, history_entry(f"{name} {left}", "output")]
            remember(back, history_digests(lines))
            if left > 1:
                push(now_s + random.expovariate(1 / THINK_S), "turn", name, lines, left - 1)
    return backs, tally


def turn(now_s, rest, weights, random, backs, daemons, tally, push):
    """Place one turn."""
    name, lines, left = rest
    spot = random.randrange(len(daemons))
    chain = history_digests(lines)
    question = PlacementRequest(("pool",), "abc"[spot % 3], chain, f"{name}/{left}", int(now_s * 1000))
    ranked = rank(question, [b.runner for b in backs], daemons[spot], weights)
    chosen = next((b for r in ranked for b in backs if b.runner is r and b.running < r.room), None)
    if chosen is None:
        tally.turned += 1
        return
    held = 0
    while held < len(chain) and chain[held] in chosen.held:
        held += 1
    tally.hits, tally.lines = tally.hits + held, tally.lines + len(chain)
    chosen.running += 1
    chosen.total += 1
    chosen.most = max(chosen.most, chosen.running)
    daemons[spot][chosen.runner.name].in_flight += 1
    took_ms = START_MS + LINE_MS * (len(chain) - held) + PIECE_MS * random.randint(4, 24) + SLOW_MS * chosen.running
    tally.took.append(took_ms)
    push(now_s + took_ms / 1000, "done", chosen, daemons[spot][chosen.runner.name], name, lines, left)


def measure(policy, seeds, per_second):
    """Return median and range of a policy's results over seeds."""
    rows = []
    for seed in seeds:
        backs, tally = simulate(POLICIES[policy], seed, per_second)
        took = sorted(tally.took)
        totals = [b.total for b in backs]
        rows.append(
            {
                "hits": round(tally.hits / max(1, tally.lines), 3),
                "p50_ms": round(took[len(took) // 2]),
                "p99_ms": round(took[int(len(took) * 0.99)]),
                "refused": tally.turned,
                "spread": round(max(totals) / (sum(totals) / len(totals)), 2),
                "most_at_once": max(b.most for b in backs),
            }
        )
    middle = {k: sorted(r[k] for r in rows)[len(rows) // 2] for k in rows[0]}
    range_ = {k: [min(r[k] for r in rows), max(r[k] for r in rows)] for k in rows[0]}
    return {"policy": policy, "per_second": per_second, "median": middle, "range": range_}


@cappa.command(name="placing", help="Compare our placement with least-load and random choices of our own.")
class Placing(Struct, kw_only=True):
    """Arguments of the command."""

    seeds: Annotated[int, cappa.Arg(long=True)] = 5


def main():
    """Print the comparison as JSON lines."""
    command = cappa.parse(Placing)
    for per_second in (12.0, 24.0, 48.0):
        for policy in POLICIES:
            print(json.encode(measure(policy, range(1, command.seeds + 1), per_second)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
