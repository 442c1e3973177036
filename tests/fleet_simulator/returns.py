"""Configuration changes and runner drains that coincide with the return of a daemon."""

from random import Random

from .operator import Operator

CHANGE_ODDS, CHANGE_DURING_CUT_ODDS, DRAIN_ODDS = 0.3, 0.3, 0.2
CHANGE_TIMEOUT_MS = 6000


def operator_at(world, daemon, tag):
    """Returns an operator that calls only the given control daemon, or any one for a daemon of another role."""
    from .world import CONTROL

    addresses = [(daemon.host.address, CONTROL)] if daemon.role == "core" else None
    world.serial += 1
    controls = (lambda: list(addresses)) if addresses else world.controls
    return Operator(
        world.callers, world.notes, Random(f"{world.seed}{tag}{world.serial}"), controls, f"{tag}{world.serial}-"
    )


def change_at(world, random, daemon):
    """Send a change to a daemon until a response is conclusive; sometimes two at once."""
    if world.now_ms() >= world.changes_until_ms:
        return
    for _ in range(2 if random.random() < 0.3 else 1):
        operator_at(world, daemon, "m").modify(world.now_ms() + CHANGE_TIMEOUT_MS)


def after(world, random, daemon):
    """Randomly change the configuration or drain a runner after a daemon returned."""
    if random.random() < CHANGE_ODDS:
        change_at(world, random, daemon)
    if random.random() < DRAIN_ODDS:
        from .works import drain_runner

        world.later(random.uniform(0, 1500), drain_runner, world, random)


def during(world, random, daemon, for_ms):
    """Randomly change the configuration while a daemon is partitioned for `for_ms`."""
    if random.random() < CHANGE_DURING_CUT_ODDS:
        world.later(for_ms * random.uniform(0.05, 0.95), change_at, world, random, daemon)
