"""A deployment brought up: daemons started, a first configuration taken, edges ready."""

from random import Random

from frostpost.platform.readiness import is_ready

from . import world as worlds
from .crowd import Crowd
from .dial import dial
from .notes import Try
from .operator import Operator


def probe(world, crowd, daemon):
    """The platform asks each edge whether it is ready, every second."""
    request = Try("probe", "probe", "/frostpost/readiness", b"", 1000, [], method="GET")

    def missed(_=None):
        world.out[daemon.name] = world.out.get(daemon.name, 0) + 1

    def told(answered):
        if answered.whole and answered.status == 200:
            world.out[daemon.name] = 0
        else:
            missed()
        if not line_of[0].lost:
            line_of[0].transport.loseConnection()

    line_of = []

    def up(line):
        line_of.append(line)
        crowd.host.callLater(0.9, line.give_up)
        return line.start(request).addCallback(told)

    if not daemon.gone:
        dial(crowd, (daemon.host.address, worlds.READINESS)).addCallbacks(up, missed)
        world.later(1000, probe, world, crowd, daemon)


def ready(world, daemon):
    return daemon.owner is not None and daemon.host.alive and not daemon.host.frozen and is_ready(daemon.owner)


def settle(world, wait_ms):
    """Until all edges are ready; -> ms it took, or -1."""
    from_ms = world.now_ms()
    while world.now_ms() < from_ms + wait_ms:
        world.run(world.now_ms() + 50)
        if all(ready(world, d) for d in world.of("edge")):
            return world.now_ms() - from_ms
    return -1.0


def await_(world, deferred, wait_ms):
    box = []
    deferred.addCallbacks(box.append, lambda f: box.append(f))
    until_ms = world.now_ms() + wait_ms
    while not box and world.now_ms() < until_ms:
        world.run(world.now_ms() + 20)
    return box[0] if box else None


def operator_of(world, tag):
    return Operator(world.callers, world.notes, Random(f"{world.seed}{tag}"), lambda: worlds.controls(world), tag)


def crowd_of(world, tag):
    return Crowd(
        world.callers, world.notes, Random(f"{world.seed}{tag}"), lambda z: worlds.fronts(world, z), world.zones, tag
    )


def open_(seed, shape=None, prepare=None, wait_ms=15000):
    """A deployment that has founded itself and holds the first configuration."""
    world = worlds.make(seed, shape)
    if prepare:
        prepare(world)
    for daemon in list(world.daemons.values()):
        world.later(world.random.uniform(0, 400), worlds.start, world, daemon)
    operators = [operator_of(world, "a"), operator_of(world, "b")]
    founded = operators[0].found()
    status = await_(world, founded, wait_ms)
    took_ms = settle(world, wait_ms)
    for daemon in world.daemons.values():
        daemon.first = False
    return world, operators, status, took_ms
