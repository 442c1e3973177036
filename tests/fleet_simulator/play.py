"""Simulate one seeded day: first configuration, traffic, faults, a closing fault and the invariant checks."""

from collections import Counter, defaultdict
from random import Random

from msgspec import Struct
from twisted.python import log

from . import bearing
from . import judge as judge
from . import troubles as troubles
from . import world as worlds
from .config import acknowledgements, handled, read_back, reverts
from .crowd import Crowd
from .inner import inner
from .kinds import KINDS, strike
from .leases import LeaseMonitor, forwarded_past_lease
from .linearizability import linearizable
from .notes import Violation
from .stage import await_, crowd_of, open_, probe, settle
from .tenants import wrong_tenants

STORM_MS = 16000
ODDS = {"lose": 0.02, "cut": 0.03, "surplus": 0.02, "noise": 0.01, "fail": 0.01, "silent": 0.01}


class Report(Struct):
    seed: int
    broken: list
    odd: list
    tries: dict
    runs: int
    ready_ms: float
    back_ms: float
    served: float
    acks: dict
    trace: list


def changes(world, random, operators, until_ms):
    """Change the configuration repeatedly, sometimes by both operators at once."""

    def schedule_next():
        if world.now_ms() < until_ms:
            for operator in operators if random.random() < 0.4 else operators[:1]:
                operator.modify(world.now_ms() + 6000)
            world.later(random.uniform(1500, 4500), schedule_next)

    schedule_next()


def run_away(world, crowd, until_ms):
    """Have clients without credentials run programs whose budget is 0, unless only tenants are served."""
    if isinstance(crowd, Crowd):
        crowd_of(world, "r").run_away(until_ms)


def storm(world, random, operators, kinds, until_ms, gap_ms, trace):
    """Inject random faults of the given kinds until `until_ms`, at most `gap_ms` apart."""

    def schedule_next():
        if world.now_ms() >= until_ms:
            return
        kind = random.choice(kinds)
        trace.append((round(world.now_ms()), kind))
        strike(world, random, kind)
        world.later(random.uniform(100, gap_ms), schedule_next)

    world.later(random.uniform(300, 1500), schedule_next)


def heal(world):
    """End all faults and start all daemons that were not removed."""
    world.net.cuts.clear()
    world.cuts.clear()
    world.notes.end_isolations(world.now_ms())
    world.listing.down = False
    for daemon in list(world.daemons.values()):
        daemon.disk.delay_ms, daemon.disk.capacity_bytes = worlds.DISK_MS, worlds.DISK_ROOM
        daemon.disk.failing.clear()
        daemon.host.thaw()
        if not daemon.gone:
            daemon.host.powered = True
            worlds.start(world, daemon)
    for trouble in world.notes.troubles:
        if trouble.kind == "roll":
            continue
        trouble.until_ms = min(trouble.until_ms, world.now_ms())
    for runner in world.runners.values():
        runner.host.thaw()
        runner.odds = {}


def invariant_violations(world, document):
    """Returns the violations of all invariants. document: the configuration read at the end."""
    tries = {t.try_id: t for t in world.notes.tries}
    runs_of = defaultdict(list)
    for run in world.notes.runs:
        runs_of[run.try_id].append(run)
    return [
        *judge.duplicate_executions(world, runs_of, tries),
        *judge.executions_after_refusal(runs_of, tries),
        *judge.excess_attempts(runs_of, tries),
        *judge.mismatched_responses(world, runs_of, tries),
        *judge.budget_overruns(tries),
        *judge.unsolicited_executions(world, tries),
        *wrong_tenants(world, tries),
        *judge.lost_sessions(world, tries),
        *judge.dispatches_after_drain(world, tries),
        *judge.interrupted_requests(world, runs_of, tries),
        *forwarded_past_lease(world, tries),
        *linearizable(world.notes.versions, world.notes.control_calls),
        *acknowledgements(world),
        *handled(world, tries),
        *reverts(world, tries),
        *read_back(world, document),
    ]


def play(
    seed,
    shape=None,
    kinds=None,
    storm_ms=STORM_MS,
    gap_ms=2500,
    closing=None,
    load_ms=150,
    odds=ODDS,
    prepare=None,
    document=None,
    make_crowd=crowd_of,
):
    """Simulate a day. Returns (world, Report).

    closing: power, kill, wipe or none; by default drawn from the seed. document: the first configuration.
    """
    failures, trace, broken = [], [], []

    def observe(event):
        if event.get("isError") and "log_failure" in event:
            failures.append(event["log_failure"].getTraceback()[-900:])

    log.addObserver(observe)
    try:
        world, operators, status, took_ms = open_(seed, shape, prepare, document=document)
        if status != 200 or took_ms < 0:
            broken.append(Violation("FOUND", f"first configuration {status}, all ready after {took_ms}"))
        random = Random(seed * 7919 + 1)
        for runner in world.runners.values():
            runner.odds = dict(odds)
        crowd, from_ms = make_crowd(world, "c"), world.now_ms()
        world.operators, world.crowd, world.changes_until_ms = operators, crowd, from_ms + storm_ms
        monitor = LeaseMonitor(world)
        monitor.watch()
        for daemon in world.of("edge"):
            probe(world, crowd, daemon)
        crowd.arrive(from_ms + storm_ms, load_ms)
        run_away(world, crowd, from_ms + storm_ms)
        changes(world, random, operators, from_ms + storm_ms)
        kinds = sorted(kinds if kinds is not None else KINDS)
        if kinds:
            storm(world, random, operators, kinds, from_ms + storm_ms, gap_ms, trace)
        world.run(from_ms + storm_ms)
        heal(world)
        close(world, random, operators, crowd, closing or random.choice(("power", "kill", "wipe", "none")), trace)
        healed_ms = world.now_ms()
        back_ms = settle(world, world.notes.sheet["recovery"])
        if back_ms < 0:
            broken.append(
                Violation("RECOVER", f"not all edges ready {world.notes.sheet['recovery']} ms after the faults ended")
            )
        world.run(max(world.now_ms(), healed_ms + world.notes.sheet["recovery"]))
        first = len(world.notes.tries)
        crowd.arrive(world.now_ms() + 3000, 100)
        acked = await_(world, operators[0].modify(world.now_ms() + world.notes.sheet["ack"] + 2000), 8000)
        world.run(world.now_ms() + 9000)
        final_tries = world.notes.tries[first:]
        served = sum(t.whole and 200 <= t.status < 300 for t in final_tries) / max(1, len(final_tries))
        if served < 0.25:
            broken.append(
                Violation(
                    "RECOVER", f"{served:.2f} of {len(final_tries)} served: {Counter(t.status for t in final_tries)}"
                )
            )
        document = await_(world, operators[0].read(world.now_ms() + 5000), 6000)
        broken += [*invariant_violations(world, document), *monitor.broken]
        odd = [*inner(world), *failures]
        if not acked or acked not in (200, 400):
            odd.append(f"a change without faults got {acked}")
    finally:
        log.removeObserver(observe)
    acks = Counter("acked" if v.acked_ms >= 0 else str(v.no or "unclear") for v in world.notes.versions)
    return world, Report(
        seed,
        broken,
        odd,
        dict(Counter(t.status for t in world.notes.tries)),
        len(world.notes.runs),
        took_ms,
        back_ms,
        served,
        dict(acks),
        trace,
    )


def close(world, random, operators, crowd, closing, trace):
    """Inject the closing fault right after a change or a turn was acknowledged."""
    if closing == "none":
        return
    world.run(world.now_ms() + 5000)
    while bearing.lost(world):
        world.run(world.now_ms() + 200)
    crowd.arrive(world.now_ms() + 1500, 100)
    down_until_ms, wiped = [], min(world.shape.tolerated if closing == "wipe" else 0, len(world.of("storage")) - 1)

    def stop_all(request=None):
        if not down_until_ms and (request is None or random.random() < 0.2):
            down_until_ms.append(world.now_ms() + troubles.all_down(world, random, closing != "kill", wiped))
            trace.append((round(world.now_ms()), f"all down {closing}"))

    if random.random() < 0.5:
        world.notes.tap = stop_all
        world.run(world.now_ms() + 1500)
        world.notes.tap = lambda request: None
    else:
        await_(world, operators[0].modify(world.now_ms() + 5000), 6000)
    stop_all()
    world.run(down_until_ms[0] + 10)
    crowd.arrive(world.now_ms() + 1000, 200)
