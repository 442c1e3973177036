"""Count what ordering costs, by members and rate, under the virtual clock."""

import sys
from collections import Counter
from random import Random
from typing import Annotated

import cappa
from msgspec import Struct, json

from frostpost.daemon.core import OperationDecided
from frostpost.ledger.operations import Look
from frostpost.virtual_synchrony.events import ConfigurationChanged, OperationSubmitted
from frostpost.virtual_synchrony.messages import DiscoveryUpdate, Heartbeat

from . import world as worlds
from .storm import encode, serves

FLEETS = {4: (0, 3, 1), 8: (3, 3, 2), 16: (8, 3, 5), 32: (22, 3, 7)}
SPAN_MS = 4000


def count(world, tally):
    """Return a send function that counts messages and heartbeats."""
    send = worlds.send

    def counted(world, node, target, body):
        quiet = isinstance(body, (Heartbeat, DiscoveryUpdate))
        tally["beats" if quiet else "messages"] += 1
        send(world, node, target, body)

    return counted


def flow(world, random, per_second, asked, until_ms):
    """Submit operations at a rate."""
    if world.now_ms >= until_ms:
        return
    worlds.at(world, random.expovariate(per_second / 1000), "call", flow, random, per_second, asked, until_ms)
    node = random.choice([n for n in world.nodes.values() if serves(world, n)])
    asked[(node.endpoint.member, node.core.synchrony.last_operation_number + 1)] = world.now_ms
    worlds.feed(world, node.name, OperationSubmitted(worlds.clock(world, node), encode(Look())))


def measure(members, per_second, seed=1):
    """Return messages, syncs and latency per ordered operation."""
    world = worlds.make(seed, *FLEETS[members])
    worlds.run(world, 3000)
    tally, asked, took = Counter(), {}, []

    def heard(world, node, answer):
        if isinstance(answer, OperationDecided):
            took.append(world.now_ms - asked[(node.endpoint.member, answer.number)])

    world.tap = heard
    kept, worlds.send = worlds.send, count(world, tally)
    syncs = sum(n.disk.syncs for n in world.nodes.values())
    counts = Counter()
    for node in world.nodes.values():
        counts.subtract(node.core.synchrony.counts)
    try:
        flow(world, Random(seed), per_second, asked, world.now_ms + SPAN_MS)
        worlds.run(world, world.now_ms + SPAN_MS + 500)
    finally:
        worlds.send = kept
    for node in world.nodes.values():
        counts.update(node.core.synchrony.counts)
    took.sort()
    many = len(took)
    return {
        "members": members,
        "per_second": per_second,
        "ordered": many,
        "messages_each": round(tally["messages"] / many, 2),
        "batches": counts["batches"],
        "entries_aBatch": round(many / counts["batches"], 2),
        "syncs_each": round((sum(n.disk.syncs for n in world.nodes.values()) - syncs) / many, 2),
        "heartbeats_per_s": round(tally["beats"] / (SPAN_MS + 500) * 1000),
        "virtual_ms": {"median": round(took[many // 2], 1), "99": round(took[int(many * 0.99)], 1)},
    }


def whole(world):
    """Tell whether all nodes are in one configuration and serve."""
    alive = [n for n in world.nodes.values() if n.core is not None]
    ids = {n.core.synchrony.configuration.id for n in alive}
    return len(ids) == 1 and all(serves(world, n) for n in alive)


def view_change(members, victim, seed=1):
    """Return how long it takes to install a configuration and to serve after a node is killed."""
    world = worlds.make(seed, *FLEETS[members])
    worlds.run(world, 3000)
    from_ms = world.now_ms
    worlds.kill(world, victim)
    done = []

    def heard(world, node, answer):
        if isinstance(answer, ConfigurationChanged) and not answer.transitional:
            done.append(world.now_ms)

    world.tap = heard
    while not done or not whole(world):
        worlds.run(world, world.now_ms + 1)
    return {
        "members": members,
        "killed": victim,
        "installed_ms": round(done[0] - from_ms),
        "served_ms": round(world.now_ms - from_ms),
    }


@cappa.command(name="costs", help="Count what ordering costs, by members and rate, under the virtual clock.")
class Costs(Struct, kw_only=True):
    """Arguments of the command."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1


def main():
    """Print the costs as JSON lines."""
    command = cappa.parse(Costs)
    for members in FLEETS:
        for per_second in (20, 200, 1000):
            print(json.encode(measure(members, per_second, command.seed)).decode(), flush=True)
    for members in (4, 8, 16, 32):
        for victim in ("s1", "c1"):
            print(json.encode(view_change(members, victim, command.seed)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
