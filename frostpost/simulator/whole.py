from random import Random

from msgspec import Struct

from frostpost.testbed.judge import judge, summary
from frostpost.testbed.told import Breach
from frostpost.testbed.templates import TEMPLATES, TENANTS
from . import valley as valleys
from .chores import CHORES
from .gusts import CORE, PLATFORM, heal, roll

BACK_MS = 12000
PLANNED = {"roll": roll, **{k: v for k, v in CHORES.items() if k != "misbehave"}}
ALL = {**CORE, **PLATFORM, **CHORES, "roll": roll}


def slowRunners(valley, random):
    for runner in valley.backs.values():
        runner.pieceMs = 120.0


def slowEdge(valley, random):
    valley.daemons["e1"].drive.delayMs = 3500.0


class Report(Struct):
    seed: int
    broken: list
    backMs: float
    callers: dict
    trace: list
    runs: int


def settled(valley, waitMs):
    endMs = valleys.nowMs(valley) + waitMs
    while valleys.nowMs(valley) < endMs:
        valleys.run(valley, valleys.nowMs(valley) + 100)
        ids = {d.ctx.core.hedge.configuration.id for d in valley.daemons.values() if d.ctx}
        if len(ids) == 1 and all(valleys.ready(valley, n) for n in valley.daemons):
            return True
    return False


def stampAll(valley):
    boxes = []
    for kind, documents in (("templates", TEMPLATES), ("tenants", TENANTS)):
        for name, document in documents.items():
            boxes.append(valleys.call(valley, "e1", f"/v1/config/{kind}/{name}", "PUT", document))
            for _ in range(40):
                if boxes[-1]:
                    break
                valleys.run(valley, valleys.nowMs(valley) + 50)
    return all(b and b[0][0] == 200 for b in boxes)


def storm(valley, random, kinds, stormMs, gapMs):
    atMs, endMs = 500.0, stormMs
    while atMs < endMs:
        kind = random.choice(kinds)
        valleys.later(valley, atMs, ALL[kind], valley, random)
        valley.trace.append((round(atMs), kind))
        atMs += random.uniform(20, gapMs)


def play(
    seed,
    edges=2,
    storages=3,
    cores=2,
    kinds=None,
    stormMs=9000,
    gapMs=1800,
    factor=0.2,
    planned=False,
    prepare=None,
    bounds=None,
):
    tight = {"rewriteEntries": 60, "pieceBytes": 1500, "batch": 16} if seed % 2 else {}
    valley = valleys.make(seed, edges, storages, cores, bounds or tight)
    random = Random(seed * 7919 + 1)
    broken = []
    if not settled(valley, BACK_MS) or not stampAll(valley):
        broken.append(Breach("back", "the fleet did not come up"))
    valleys.crowd(valley, stormMs / 1000 + 3, factor)
    if prepare:
        prepare(valley, random)
    storm(valley, random, sorted(kinds or (PLANNED if planned else ALL)), stormMs, gapMs)
    startMs = valleys.nowMs(valley)
    valleys.run(valley, startMs + stormMs)
    if planned:
        settled(valley, 40000)
    heal(valley)
    healedMs = valleys.nowMs(valley)
    backMs = valleys.nowMs(valley) - healedMs if settled(valley, BACK_MS) else -1.0
    if backMs < 0:
        broken.append(Breach("back", f"not served again {BACK_MS} ms after the healing"))
    valleys.run(valley, valleys.nowMs(valley) + 1000)
    seen = len(valley.notes.lines)
    valley.callers.catchUp()
    after = valleys.callers.Crowd(valley.callers, valleys.doors(valley), seed + 1, valley.notes, "z")
    valleys.callers.arrivals(after, 1.5, max(factor, 0.3), lambda: None)
    valleys.run(valley, valleys.nowMs(valley) + 6000)
    late = summary([n for n in valley.notes.lines[seen:] if n.get("request", "z")[0] == "z"])
    if late["verdicts"].get("served", 0) * 10 < late["asked"] * 9:
        broken.append(Breach("back", f"calls after the healing: {late['verdicts']}"))
    broken += judge(valley.notes.lines, valley.runnerNotes.lines, planned=planned)
    for host in valley.net.hosts.values():
        broken += [Breach("internal", f"{host.name}: {text}") for text in host.breaks[:2]]
    return valley, Report(
        seed, broken, backMs, summary(valley.notes.lines), valley.trace, len(valley.runnerNotes.lines)
    )
