"""Comparison of placement policies in a simulation of runners with prefix caches."""

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
DURATION_S, REPORT_INTERVAL_S, MEAN_PAUSE_S = 60.0, 0.5, 0.4
START_MS, UNCACHED_ENTRY_MS, OUTPUT_CHUNK_MS, PER_RUNNING_TURN_MS = 40.0, 60.0, 20.0, 15.0


class SimulatedRunner(Struct):
    """A runner with its prefix cache and counts of turns."""

    runner: Runner
    cache: dict = {}
    running: int = 0
    max_running: int = 0
    turn_count: int = 0


class Counts(Struct):
    """Counts of a simulation: cached and all history entries of its turns, durations, refused turns."""

    hits: int = 0
    entries: int = 0
    durations_ms: list = []
    refused: int = 0


def add_to_cache(simulated_runner, digests, capacity=300):
    """Add a history's digests to a runner's cache and evict the oldest entries beyond its capacity."""
    for digest in digests:
        simulated_runner.cache.pop(digest, None)
        simulated_runner.cache[digest] = True
    while len(simulated_runner.cache) > capacity:
        simulated_runner.cache.pop(next(iter(simulated_runner.cache)))


def report_load(daemons, simulated_runners, now_ms):
    """Update the load and cached prefixes of all runners at all daemons."""
    for runner_health in daemons:
        for simulated_runner in simulated_runners:
            health = runner_health[simulated_runner.runner.name]
            health.load, health.reported_ms = float(simulated_runner.running), now_ms
            health.prefixes = frozenset(simulated_runner.cache)


def simulate(weights, seed, per_second=24.0, daemon_count=8, runner_count=9, capacity=24):
    """Simulate programs that send turns to runners; returns the runners and the counts."""
    random, counts, events, event_count = Random(seed), Counts(), [], 0
    simulated_runners = [
        SimulatedRunner(Runner(f"r{n}", f"i{n}", "", n, "pool", "abc"[n % 3], capacity)) for n in range(runner_count)
    ]
    daemons = [
        {
            simulated_runner.runner.name: RunnerHealth(instance=simulated_runner.runner.instance)
            for simulated_runner in simulated_runners
        }
        for _ in range(daemon_count)
    ]

    def schedule(event_s, kind, *arguments):
        nonlocal event_count
        event_count += 1
        heappush(events, (event_s, event_count, kind, arguments))

    schedule(0.0, "report")
    schedule(0.0, "program")
    while events:
        now_s, _, kind, arguments = heappop(events)
        if now_s > DURATION_S:
            break
        if kind == "report":
            report_load(daemons, simulated_runners, int(now_s * 1000))
            schedule(now_s + REPORT_INTERVAL_S, "report")
        elif kind == "program":
            schedule(now_s + random.expovariate(per_second), "program")
            prompt = [history_entry(f"prompt {random.randrange(6)} part {n}", "ok") for n in range(2)]
            schedule(now_s, "turn", f"p{event_count}", prompt, 2 + random.randrange(4))
        elif kind == "turn":
            place_turn(now_s, arguments, weights, random, simulated_runners, daemons, counts, schedule)
        else:
            simulated_runner, health, name, entries, remaining_turns = arguments
            simulated_runner.running -= 1
            health.in_flight -= 1
            entries = [*entries, history_entry(f"{name} {remaining_turns}", "output")]
            add_to_cache(simulated_runner, history_digests(entries))
            if remaining_turns > 1:
                schedule(now_s + random.expovariate(1 / MEAN_PAUSE_S), "turn", name, entries, remaining_turns - 1)
    return simulated_runners, counts


def place_turn(now_s, arguments, weights, random, simulated_runners, daemons, counts, schedule):
    """Place a turn on the best-ranked runner that has a free slot, or count it as refused."""
    name, entries, remaining_turns = arguments
    daemon_index = random.randrange(len(daemons))
    digests = history_digests(entries)
    request = PlacementRequest(
        ("pool",), "abc"[daemon_index % 3], digests, f"{name}/{remaining_turns}", int(now_s * 1000)
    )
    ranked = rank(
        request, [simulated_runner.runner for simulated_runner in simulated_runners], daemons[daemon_index], weights
    )
    chosen = next(
        (
            simulated_runner
            for runner in ranked
            for simulated_runner in simulated_runners
            if simulated_runner.runner is runner and simulated_runner.running < runner.room
        ),
        None,
    )
    if chosen is None:
        counts.refused += 1
        return
    cached_count = 0
    while cached_count < len(digests) and digests[cached_count] in chosen.cache:
        cached_count += 1
    counts.hits, counts.entries = counts.hits + cached_count, counts.entries + len(digests)
    chosen.running += 1
    chosen.turn_count += 1
    chosen.max_running = max(chosen.max_running, chosen.running)
    daemons[daemon_index][chosen.runner.name].in_flight += 1
    duration_ms = (
        START_MS
        + UNCACHED_ENTRY_MS * (len(digests) - cached_count)
        + OUTPUT_CHUNK_MS * random.randint(4, 24)
        + PER_RUNNING_TURN_MS * chosen.running
    )
    counts.durations_ms.append(duration_ms)
    schedule(
        now_s + duration_ms / 1000,
        "done",
        chosen,
        daemons[daemon_index][chosen.runner.name],
        name,
        entries,
        remaining_turns,
    )


def measure(policy, seeds, per_second):
    """Return the medians and ranges of a policy's results over several seeds."""
    rows = []
    for seed in seeds:
        simulated_runners, counts = simulate(POLICIES[policy], seed, per_second)
        durations_ms = sorted(counts.durations_ms)
        turn_counts = [simulated_runner.turn_count for simulated_runner in simulated_runners]
        rows.append(
            {
                "hits": round(counts.hits / max(1, counts.entries), 3),
                "p50_ms": round(durations_ms[len(durations_ms) // 2]),
                "p99_ms": round(durations_ms[int(len(durations_ms) * 0.99)]),
                "refused": counts.refused,
                "spread": round(max(turn_counts) / (sum(turn_counts) / len(turn_counts)), 2),
                "most_at_once": max(simulated_runner.max_running for simulated_runner in simulated_runners),
            }
        )
    medians = {k: sorted(r[k] for r in rows)[len(rows) // 2] for k in rows[0]}
    ranges = {k: [min(r[k] for r in rows), max(r[k] for r in rows)] for k in rows[0]}
    return {"policy": policy, "per_second": per_second, "median": medians, "range": ranges}


@cappa.command(name="placing", help="Compare our placement with least-load and random choices of our own.")
class Comparison(Struct, kw_only=True):
    """Arguments of the command."""

    seeds: Annotated[int, cappa.Arg(long=True)] = 5


def main():
    """Print the comparison as JSON lines."""
    command = cappa.parse(Comparison)
    for per_second in (12.0, 24.0, 48.0):
        for policy in POLICIES:
            print(json.encode(measure(policy, range(1, command.seeds + 1), per_second)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
