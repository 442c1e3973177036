"""One run of the whole-path simulation with random faults, and the check of its results."""

from random import Random

from msgspec import Struct

from frostpost.testbed import callers
from frostpost.testbed.caller_requests import Breach
from frostpost.testbed.judge import judge, summary
from frostpost.testbed.templates import TEMPLATES, TENANTS

from . import fleet as fleets
from . import fleet_calls
from .fleet_events import OPERATOR_AND_RUNNER_EVENTS
from .fleet_faults import DAEMON_FAULTS, PLATFORM_FAULTS, heal, restart_one

RECOVERY_TIMEOUT_MS = 12000
PLANNED_EVENTS = {
    "roll": restart_one,
    **{kind: event for kind, event in OPERATOR_AND_RUNNER_EVENTS.items() if kind != "misbehave"},
}
ALL_EVENTS = {**DAEMON_FAULTS, **PLATFORM_FAULTS, **OPERATOR_AND_RUNNER_EVENTS, "roll": restart_one}


def slow_runners(fleet, random):
    """Make all runners slow."""
    for runner in fleet.runners.values():
        runner.piece_ms = 120.0


def slow_edge(fleet, random):
    """Make one edge daemon's disk slow."""
    fleet.daemons["e1"].disk.delay_ms = 3500.0


class Report(Struct):
    """The results of a run; `back_ms` is the time until all daemons were ready after the faults, -1 for never."""

    seed: int
    broken: list
    back_ms: float
    callers: dict
    trace: list
    runs: int


def wait_until_ready(fleet, wait_ms):
    """Run until all daemons are ready in one configuration, for at most `wait_ms`; returns whether they are."""
    end_ms = fleets.clock_ms(fleet) + wait_ms
    while fleets.clock_ms(fleet) < end_ms:
        fleets.run(fleet, fleets.clock_ms(fleet) + 100)
        ids = {d.ctx.core.synchrony.configuration.id for d in fleet.daemons.values() if d.ctx}
        if len(ids) == 1 and all(fleet_calls.is_ready(fleet, n) for n in fleet.daemons):
            return True
    return False


def apply_config(fleet):
    """Send all templates and tenants to a daemon; returns whether all were accepted."""
    requests = []
    for kind, documents in (("templates", TEMPLATES), ("tenants", TENANTS)):
        for name, document in documents.items():
            requests.append(fleet_calls.call(fleet, "e1", f"/v1/config/{kind}/{name}", "PUT", document))
            for _ in range(40):
                if requests[-1]:
                    break
                fleets.run(fleet, fleets.clock_ms(fleet) + 50)
    return all(responses and responses[0][0] == 200 for responses in requests)


def schedule_events(fleet, random, kinds, storm_ms, gap_ms):
    """Schedule random events of the given kinds; `gap_ms` bounds the time between two."""
    event_ms, end_ms = 500.0, storm_ms
    while event_ms < end_ms:
        kind = random.choice(kinds)
        fleets.schedule(fleet, event_ms, ALL_EVENTS[kind], fleet, random)
        fleet.trace.append((round(event_ms), kind))
        event_ms += random.uniform(20, gap_ms)


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
    """Run a seeded simulation; returns the fleet and a report.

    With `planned`, only planned events happen, and no call may fail; `factor` scales the load; `prepare` is called with
    the fleet before the first event.
    """
    small_bounds = {"rewrite_entries": 60, "piece_bytes": 1500, "batch": 16} if seed % 2 else {}
    fleet = fleets.create_fleet(seed, edges, storages, cores, bounds or small_bounds)
    random = Random(seed * 7919 + 1)
    violations = []
    if not wait_until_ready(fleet, RECOVERY_TIMEOUT_MS) or not apply_config(fleet):
        violations.append(Breach("back", "the fleet did not come up"))
    fleet_calls.start_callers(fleet, storm_ms / 1000 + 3, factor)
    if prepare:
        prepare(fleet, random)
    schedule_events(fleet, random, sorted(kinds or (PLANNED_EVENTS if planned else ALL_EVENTS)), storm_ms, gap_ms)
    start_ms = fleets.clock_ms(fleet)
    fleets.run(fleet, start_ms + storm_ms)
    if planned:
        wait_until_ready(fleet, 40000)
    heal(fleet)
    healed_ms = fleets.clock_ms(fleet)
    back_ms = fleets.clock_ms(fleet) - healed_ms if wait_until_ready(fleet, RECOVERY_TIMEOUT_MS) else -1.0
    if back_ms < 0:
        violations.append(Breach("back", f"not served again {RECOVERY_TIMEOUT_MS} ms after the healing"))
    fleets.run(fleet, fleets.clock_ms(fleet) + 1000)
    note_count = len(fleet.notes.lines)
    fleet.callers.run_due_calls()
    late_callers = callers.CallerGroup(fleet.callers, fleet_calls.edge_addresses(fleet), seed + 1, fleet.notes, "z")
    callers.run_arrivals(late_callers, 1.5, max(factor, 0.3), lambda: None)
    fleets.run(fleet, fleets.clock_ms(fleet) + 6000)
    late_summary = summary([n for n in fleet.notes.lines[note_count:] if n.get("request", "z")[0] == "z"])
    if late_summary["results"].get("served", 0) * 10 < late_summary["asked"] * 9:
        violations.append(Breach("back", f"calls after the healing: {late_summary['results']}"))
    violations += judge(fleet.notes.lines, fleet.runner_notes.lines, planned=planned)
    for host in fleet.net.hosts.values():
        violations += [Breach("internal", f"{host.name}: {text}") for text in host.tracebacks[:2]]
    return fleet, Report(
        seed, violations, back_ms, summary(fleet.notes.lines), fleet.trace, len(fleet.runner_notes.lines)
    )
