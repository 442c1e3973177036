"""What the operator and the runners do round a machine's return: a change at that moment, a race, a drain."""

from random import Random

from .operator import Operator

MEET_ODDS, DURING_ODDS, DRAIN_ODDS = 0.3, 0.3, 0.2
ORDER_MS = 6000


def operator_at(world, daemon, tag):
    """An operator that calls the control address of one machine only."""
    from .world import CONTROL

    at = [(daemon.host.address, CONTROL)] if daemon.role == "core" else None
    world.serial += 1
    controls = (lambda: list(at)) if at else world.controls
    return Operator(
        world.callers, world.notes, Random(f"{world.seed}{tag}{world.serial}"), controls, f"{tag}{world.serial}-"
    )


def change_at(world, random, daemon):
    """A change is sent to a machine, two at once now and then, and again until one answers."""
    if world.now_ms() >= world.changes_until_ms:
        return
    for _ in range(2 if random.random() < 0.3 else 1):
        operator_at(world, daemon, "m").modify(world.now_ms() + ORDER_MS)


def after(world, random, daemon):
    """The machine is back."""
    if random.random() < MEET_ODDS:
        change_at(world, random, daemon)
    if random.random() < DRAIN_ODDS:
        from .works import drain_runner

        world.later(random.uniform(0, 1500), drain_runner, world, random)


def during(world, random, daemon, for_ms):
    """A change is sent to a machine while it is cut off."""
    if random.random() < DURING_ODDS:
        world.later(for_ms * random.uniform(0.05, 0.95), change_at, world, random, daemon)
