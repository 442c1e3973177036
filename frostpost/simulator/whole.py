"""Play one storm of the whole-path simulation and judge it."""

from random import Random

from msgspec import Struct

from frostpost.testbed import callers
from frostpost.testbed.caller_requests import Breach
from frostpost.testbed.judge import judge, summary
from frostpost.testbed.templates import TEMPLATES, TENANTS

from . import fleet as fleets
from . import fleet_calls
from .fleet_events import CHORES
from .fleet_faults import CORE, PLATFORM, heal, roll

BACK_MS = 12000
PLANNED = {"roll": roll, **{k: v for k, v in CHORES.items() if k != "misbehave"}}
ALL = {**CORE, **PLATFORM, **CHORES, "roll": roll}


def slow_runners(fleet, random):
    """Make all runners slow."""
    for runner in fleet.backs.values():
        runner.piece_ms = 120.0


def slow_edge(fleet, random):
    """Make one edge daemon's disk slow."""
    fleet.daemons["e1"].drive.delay_ms = 3500.0


class Report(Struct):
    """What a storm showed."""

    seed: int
    broken: list
    back_ms: float
    callers: dict
    trace: list
    runs: int


def settled(fleet, wait_ms):
    """Run until all daemons are ready, for at most `wait_ms`; returns whether they are."""
    end_ms = fleets.clock_ms(fleet) + wait_ms
    while fleets.clock_ms(fleet) < end_ms:
        fleets.run(fleet, fleets.clock_ms(fleet) + 100)
        ids = {d.ctx.core.synchrony.configuration.id for d in fleet.daemons.values() if d.ctx}
        if len(ids) == 1 and all(fleet_calls.ready(fleet, n) for n in fleet.daemons):
            return True
    return False


def stamp_all(fleet):
    """Put all templates and tenants into effect; returns whether all were taken."""
    boxes = []
    for kind, documents in (("templates", TEMPLATES), ("tenants", TENANTS)):
        for name, document in documents.items():
            boxes.append(fleet_calls.call(fleet, "e1", f"/v1/config/{kind}/{name}", "PUT", document))
            for _ in range(40):
                if boxes[-1]:
                    break
                fleets.run(fleet, fleets.clock_ms(fleet) + 50)
    return all(b and b[0][0] == 200 for b in boxes)


def storm(fleet, random, kinds, storm_ms, gap_ms):
    """Schedule random faults."""
    at_ms, end_ms = 500.0, storm_ms
    while at_ms < end_ms:
        kind = random.choice(kinds)
        fleets.later(fleet, at_ms, ALL[kind], fleet, random)
        fleet.trace.append((round(at_ms), kind))
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
    fleet = fleets.make(seed, edges, storages, cores, bounds or tight)
    random = Random(seed * 7919 + 1)
    broken = []
    if not settled(fleet, BACK_MS) or not stamp_all(fleet):
        broken.append(Breach("back", "the fleet did not come up"))
    fleet_calls.crowd(fleet, storm_ms / 1000 + 3, factor)
    if prepare:
        prepare(fleet, random)
    storm(fleet, random, sorted(kinds or (PLANNED if planned else ALL)), storm_ms, gap_ms)
    start_ms = fleets.clock_ms(fleet)
    fleets.run(fleet, start_ms + storm_ms)
    if planned:
        settled(fleet, 40000)
    heal(fleet)
    healed_ms = fleets.clock_ms(fleet)
    back_ms = fleets.clock_ms(fleet) - healed_ms if settled(fleet, BACK_MS) else -1.0
    if back_ms < 0:
        broken.append(Breach("back", f"not served again {BACK_MS} ms after the healing"))
    fleets.run(fleet, fleets.clock_ms(fleet) + 1000)
    seen = len(fleet.notes.lines)
    fleet.callers.catch_up()
    after = callers.CallerGroup(fleet.callers, fleet_calls.doors(fleet), seed + 1, fleet.notes, "z")
    callers.run_arrivals(after, 1.5, max(factor, 0.3), lambda: None)
    fleets.run(fleet, fleets.clock_ms(fleet) + 6000)
    late = summary([n for n in fleet.notes.lines[seen:] if n.get("request", "z")[0] == "z"])
    if late["results"].get("served", 0) * 10 < late["asked"] * 9:
        broken.append(Breach("back", f"calls after the healing: {late['results']}"))
    broken += judge(fleet.notes.lines, fleet.runner_notes.lines, planned=planned)
    for host in fleet.net.hosts.values():
        broken += [Breach("internal", f"{host.name}: {text}") for text in host.breaks[:2]]
    return fleet, Report(seed, broken, back_ms, summary(fleet.notes.lines), fleet.trace, len(fleet.runner_notes.lines))
