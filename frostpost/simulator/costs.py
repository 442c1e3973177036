"""Costs of ordering operations and of configuration changes, by members and rate, under the virtual clock."""

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
DURATION_MS = 4000


def counting_send(world, message_counts):
    """Return a send function that counts messages, periodic ones (heartbeats, discovery updates) separately."""
    send = worlds.send

    def send_counted(world, node, target, body):
        is_periodic = isinstance(body, (Heartbeat, DiscoveryUpdate))
        message_counts["beats" if is_periodic else "messages"] += 1
        send(world, node, target, body)

    return send_counted


def submit_at_rate(world, random, per_second, submitted_ms, until_ms):
    """Submit an operation at a random node and schedule the next one."""
    if world.now_ms >= until_ms:
        return
    worlds.schedule(
        world, random.expovariate(per_second / 1000), "call", submit_at_rate, random, per_second, submitted_ms, until_ms
    )
    node = random.choice([n for n in world.nodes.values() if serves(world, n)])
    submitted_ms[(node.endpoint.member, node.core.synchrony.last_operation_number + 1)] = world.now_ms
    worlds.deliver_input(world, node.name, OperationSubmitted(worlds.clock_ms(world, node), encode(Look())))


def measure(members, per_second, seed=1):
    """Return messages and syncs per ordered operation, and latencies in milliseconds."""
    world = worlds.create_world(seed, *FLEETS[members])
    worlds.run(world, 3000)
    message_counts, submitted_ms, latencies_ms = Counter(), {}, []

    def on_notification(world, node, notification):
        if isinstance(notification, OperationDecided):
            latencies_ms.append(world.now_ms - submitted_ms[(node.endpoint.member, notification.number)])

    world.on_notification = on_notification
    original_send, worlds.send = worlds.send, counting_send(world, message_counts)
    syncs_before = sum(n.disk.sync_count for n in world.nodes.values())
    counts = Counter()
    for node in world.nodes.values():
        counts.subtract(node.core.synchrony.counts)
    try:
        submit_at_rate(world, Random(seed), per_second, submitted_ms, world.now_ms + DURATION_MS)
        worlds.run(world, world.now_ms + DURATION_MS + 500)
    finally:
        worlds.send = original_send
    for node in world.nodes.values():
        counts.update(node.core.synchrony.counts)
    latencies_ms.sort()
    ordered_count = len(latencies_ms)
    return {
        "members": members,
        "per_second": per_second,
        "ordered": ordered_count,
        "messages_each": round(message_counts["messages"] / ordered_count, 2),
        "batches": counts["batches"],
        "entries_aBatch": round(ordered_count / counts["batches"], 2),
        "syncs_each": round((sum(n.disk.sync_count for n in world.nodes.values()) - syncs_before) / ordered_count, 2),
        "heartbeats_per_s": round(message_counts["beats"] / (DURATION_MS + 500) * 1000),
        "virtual_ms": {
            "median": round(latencies_ms[ordered_count // 2], 1),
            "99": round(latencies_ms[int(ordered_count * 0.99)], 1),
        },
    }


def all_serve(world):
    """Return whether all running nodes are in one configuration and serve."""
    alive = [n for n in world.nodes.values() if n.core is not None]
    ids = {n.core.synchrony.configuration.id for n in alive}
    return len(ids) == 1 and all(serves(world, n) for n in alive)


def view_change(members, victim, seed=1):
    """Return the times from a node's kill until a new configuration is installed and until all nodes serve."""
    world = worlds.create_world(seed, *FLEETS[members])
    worlds.run(world, 3000)
    killed_ms = world.now_ms
    worlds.kill(world, victim)
    installed_ms = []

    def on_notification(world, node, notification):
        if isinstance(notification, ConfigurationChanged) and not notification.transitional:
            installed_ms.append(world.now_ms)

    world.on_notification = on_notification
    while not installed_ms or not all_serve(world):
        worlds.run(world, world.now_ms + 1)
    return {
        "members": members,
        "killed": victim,
        "installed_ms": round(installed_ms[0] - killed_ms),
        "served_ms": round(world.now_ms - killed_ms),
    }


@cappa.command(name="costs", help="Count what ordering costs, by members and rate, under the virtual clock.")
class Costs(Struct, kw_only=True):
    """Arguments of the command."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1


def main():
    """Run the command line; print the costs as JSON lines."""
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
