import sys
from collections import Counter
from random import Random
from typing import Annotated

import cappa
from msgspec import Struct, json

from frostpost.ledger.words import Look
from frostpost.virtual_synchrony.events import Asked, Changed
from frostpost.virtual_synchrony.words import Beat, Roster
from frostpost.daemon.core import Decided
from . import world as worlds
from .storm import encode, serves

FLEETS = {4: (0, 3, 1), 8: (3, 3, 2), 16: (8, 3, 5), 32: (22, 3, 7)}
SPAN_MS = 4000


def count(world, tally):
    send = worlds.send

    def counted(world, node, target, body):
        quiet = isinstance(body, (Beat, Roster))
        tally["beats" if quiet else "messages"] += 1
        send(world, node, target, body)

    return counted


def flow(world, random, perSecond, asked, untilMs):
    if world.nowMs >= untilMs:
        return
    worlds.at(world, random.expovariate(perSecond / 1000), "call", flow, random, perSecond, asked, untilMs)
    node = random.choice([n for n in world.nodes.values() if serves(world, n)])
    asked[(node.place.member, node.core.hedge.number + 1)] = world.nowMs
    worlds.feed(world, node.name, Asked(worlds.clock(world, node), encode(Look())))


def measure(members, perSecond, seed=1):
    world = worlds.make(seed, *FLEETS[members])
    worlds.run(world, 3000)
    tally, asked, took = Counter(), {}, []

    def heard(world, node, answer):
        if isinstance(answer, Decided):
            took.append(world.nowMs - asked[(node.place.member, answer.number)])

    world.tap = heard
    kept, worlds.send = worlds.send, count(world, tally)
    syncs = sum(n.disk.syncs for n in world.nodes.values())
    counts = Counter()
    for node in world.nodes.values():
        counts.subtract(node.core.hedge.counts)
    try:
        flow(world, Random(seed), perSecond, asked, world.nowMs + SPAN_MS)
        worlds.run(world, world.nowMs + SPAN_MS + 500)
    finally:
        worlds.send = kept
    for node in world.nodes.values():
        counts.update(node.core.hedge.counts)
    took.sort()
    many = len(took)
    return {
        "members": members,
        "perSecond": perSecond,
        "ordered": many,
        "messagesEach": round(tally["messages"] / many, 2),
        "batches": counts["batches"],
        "entriesABatch": round(many / counts["batches"], 2),
        "syncsEach": round((sum(n.disk.syncs for n in world.nodes.values()) - syncs) / many, 2),
        "beatsASecond": round(tally["beats"] / (SPAN_MS + 500) * 1000),
        "virtualMs": {"median": round(took[many // 2], 1), "99": round(took[int(many * 0.99)], 1)},
    }


def whole(world):
    alive = [n for n in world.nodes.values() if n.core is not None]
    ids = {n.core.hedge.configuration.id for n in alive}
    return len(ids) == 1 and all(serves(world, n) for n in alive)


def viewChange(members, victim, seed=1):
    world = worlds.make(seed, *FLEETS[members])
    worlds.run(world, 3000)
    fromMs = world.nowMs
    worlds.kill(world, victim)
    done = []

    def heard(world, node, answer):
        if isinstance(answer, Changed) and not answer.transitional:
            done.append(world.nowMs)

    world.tap = heard
    while not done or not whole(world):
        worlds.run(world, world.nowMs + 1)
    return {
        "members": members,
        "killed": victim,
        "installedMs": round(done[0] - fromMs),
        "servedMs": round(world.nowMs - fromMs),
    }


@cappa.command(name="costs", help="Count what ordering costs, by members and rate, under the virtual clock.")
class Costs(Struct, kw_only=True):
    seed: Annotated[int, cappa.Arg(long=True)] = 1


def main():
    command = cappa.parse(Costs)
    for members in FLEETS:
        for perSecond in (20, 200, 1000):
            print(json.encode(measure(members, perSecond, command.seed)).decode(), flush=True)
    for members in (4, 8, 16, 32):
        for victim in ("s1", "c1"):
            print(json.encode(viewChange(members, victim, command.seed)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
