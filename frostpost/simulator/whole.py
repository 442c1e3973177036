"""Play one storm of the whole-path simulation and judge it."""

from random import Random

from msgspec import Struct

from frostpost.testbed import callers
from frostpost.testbed.judge import judge, summary
from frostpost.testbed.templates import TEMPLATES, TENANTS
from frostpost.testbed.told import Breach

from . import valley as valleys
from . import valley_calls
from .chores import CHORES
from .gusts import CORE, PLATFORM, heal, roll

BACK_MS = 12000
PLANNED = {"roll": roll, **{k: v for k, v in CHORES.items() if k != "misbehave"}}
ALL = {**CORE, **PLATFORM, **CHORES, "roll": roll}


def slow_runners(valley, random):
    """Make all runners slow."""
    for runner in valley.backs.values():
        runner.piece_ms = 120.0


def slow_edge(valley, random):
    """Make one edge daemon's disk slow."""
    valley.daemons["e1"].drive.delay_ms = 3500.0


class Report(Struct):
    """What a storm showed."""

    seed: int
    broken: list
    back_ms: float
    callers: dict
    trace: list
    runs: int


def settled(valley, wait_ms):
    """Run until all daemons are ready, for at most `wait_ms`; returns whether they are."""
    end_ms = valleys.clock_ms(valley) + wait_ms
    while valleys.clock_ms(valley) < end_ms:
        valleys.run(valley, valleys.clock_ms(valley) + 100)
        ids = {d.ctx.core.synchrony.configuration.id for d in valley.daemons.values() if d.ctx}
        if len(ids) == 1 and all(valley_calls.ready(valley, n) for n in valley.daemons):
            return True
    return False


def stamp_all(valley):
    """Put all templates and tenants into effect; returns whether all were taken."""
    boxes = []
    for kind, documents in (("templates", TEMPLATES), ("tenants", TENANTS)):
        for name, document in documents.items():
            boxes.append(valley_calls.call(valley, "e1", f"/v1/config/{kind}/{name}", "PUT", document))
            for _ in range(40):
                if boxes[-1]:
                    break
                valleys.run(valley, valleys.clock_ms(valley) + 50)
    return all(b and b[0][0] == 200 for b in boxes)


def storm(valley, random, kinds, storm_ms, gap_ms):
    """Schedule random faults."""
    at_ms, end_ms = 500.0, storm_ms
    while at_ms < end_ms:
        kind = random.choice(kinds)
        valleys.later(valley, at_ms, ALL[kind], valley, random)
        valley.trace.append((round(at_ms), kind))
        at_ms += random.uniform(20, gap_ms)


def play(
    seed,
    edges=2,
    storages=3,
    cores=2,
    kinds=None,
    storm_ms=9000,
    gap_ms=1800,
    factor=0.2,
    planned=False,
    prepare=None,
    bounds=None,
):
    """Play one seeded storm; return (simulation, report)."""
    tight = {"rewrite_entries": 60, "piece_bytes": 1500, "batch": 16} if seed % 2 else {}
    valley = valleys.make(seed, edges, storages, cores, bounds or tight)
    random = Random(seed * 7919 + 1)
    broken = []
    if not settled(valley, BACK_MS) or not stamp_all(valley):
        broken.append(Breach("back", "the fleet did not come up"))
    valley_calls.crowd(valley, storm_ms / 1000 + 3, factor)
    if prepare:
        prepare(valley, random)
    storm(valley, random, sorted(kinds or (PLANNED if planned else ALL)), storm_ms, gap_ms)
    start_ms = valleys.clock_ms(valley)
    valleys.run(valley, start_ms + storm_ms)
    if planned:
        settled(valley, 40000)
    heal(valley)
    healed_ms = valleys.clock_ms(valley)
    back_ms = valleys.clock_ms(valley) - healed_ms if settled(valley, BACK_MS) else -1.0
    if back_ms < 0:
        broken.append(Breach("back", f"not served again {BACK_MS} ms after the healing"))
    valleys.run(valley, valleys.clock_ms(valley) + 1000)
    seen = len(valley.notes.lines)
    valley.callers.catch_up()
    after = callers.Crowd(valley.callers, valley_calls.doors(valley), seed + 1, valley.notes, "z")
    callers.arrivals(after, 1.5, max(factor, 0.3), lambda: None)
    valleys.run(valley, valleys.clock_ms(valley) + 6000)
    late = summary([n for n in valley.notes.lines[seen:] if n.get("request", "z")[0] == "z"])
    if late["results"].get("served", 0) * 10 < late["asked"] * 9:
        broken.append(Breach("back", f"calls after the healing: {late['results']}"))
    broken += judge(valley.notes.lines, valley.runner_notes.lines, planned=planned)
    for host in valley.net.hosts.values():
        broken += [Breach("internal", f"{host.name}: {text}") for text in host.breaks[:2]]
    return valley, Report(
        seed, broken, back_ms, summary(valley.notes.lines), valley.trace, len(valley.runner_notes.lines)
    )
