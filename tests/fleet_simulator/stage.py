"""Helpers that bring up a simulated deployment and wait until its edges are ready."""

from random import Random

from frostpost.platform.readiness import is_ready

from . import world as worlds
from .crowd import Crowd
from .dial import dial
from .notes import Try
from .operator import Operator


def probe(world, crowd, daemon):
    """Probe the readiness endpoint of an edge every second, as the platform load balancer does."""
    request = Try("probe", "probe", "/frostpost/readiness", b"", 1000, [], method="GET")

    def record_failure(_=None):
        world.out[daemon.name] = world.out.get(daemon.name, 0) + 1

    def record_response(response):
        if response.whole and response.status == 200:
            world.out[daemon.name] = 0
        else:
            record_failure()
        if not connections[0].lost:
            connections[0].transport.loseConnection()

    connections = []

    def send_probe(connection):
        connections.append(connection)
        crowd.host.callLater(0.9, connection.give_up)
        return connection.start(request).addCallback(record_response)

    if not daemon.gone:
        dial(crowd, (daemon.host.address, worlds.READINESS)).addCallbacks(send_probe, record_failure)
        world.later(1000, probe, world, crowd, daemon)


def ready(world, daemon):
    return daemon.owner is not None and daemon.host.alive and not daemon.host.frozen and is_ready(daemon.owner)


def settle(world, wait_ms):
    """Run until all edges are ready. Returns the elapsed milliseconds, or -1 after `wait_ms`."""
    from_ms = world.now_ms()
    while world.now_ms() < from_ms + wait_ms:
        world.run(world.now_ms() + 50)
        if all(ready(world, d) for d in world.of("edge")):
            return world.now_ms() - from_ms
    return -1.0


def await_(world, deferred, wait_ms):
    results = []
    deferred.addCallbacks(results.append, lambda failure: results.append(failure))
    until_ms = world.now_ms() + wait_ms
    while not results and world.now_ms() < until_ms:
        world.run(world.now_ms() + 20)
    return results[0] if results else None


def operator_of(world, tag):
    return Operator(world.callers, world.notes, Random(f"{world.seed}{tag}"), lambda: worlds.controls(world), tag)


def crowd_of(world, tag):
    return Crowd(
        world.callers,
        world.notes,
        Random(f"{world.seed}{tag}"),
        lambda zone: worlds.fronts(world, zone),
        world.zones,
        tag,
    )


def open_(seed, shape=None, prepare=None, wait_ms=15000, document=None):
    """Bootstrap a deployment and apply the first configuration. Returns (world, operators, status, elapsed ms)."""
    world = worlds.make(seed, shape)
    if prepare:
        prepare(world)
    for daemon in list(world.daemons.values()):
        world.later(world.random.uniform(0, 400), worlds.start, world, daemon)
    operators = [operator_of(world, "a"), operator_of(world, "b")]
    bootstrapped = operators[0].found(document)
    status = await_(world, bootstrapped, wait_ms)
    elapsed_ms = settle(world, wait_ms)
    for daemon in world.daemons.values():
        daemon.first = False
    return world, operators, status, elapsed_ms
