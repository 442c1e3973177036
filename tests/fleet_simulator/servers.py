"""Troubles and planned work of the runners: crashes, slowness, grey failures, scaling, reuse of addresses."""

from . import works
from . import world as worlds

GREY = {
    "errors": {"fail": 0.4},
    "shed": {"shed": 0.4},
    "busy": {"shed": 0.8},
    "hang": {"silent": 0.4},
    "reset": {"lose": 0.4},
    "mute": {"silent": 1.0},
}


def some(world, random, share):
    """A share of one service's runners that are in use, one at least."""
    service = random.choice(sorted({r.service for r in world.runners.values()}))
    found = [r for r in world.runners.values() if r.service == service and not r.draining]
    return [r for n, r in enumerate(found) if n == 0 or random.random() < share]


def spoil(world, random, odds, for_ms):
    for runner in some(world, random, 0.4):
        kept = runner.odds
        runner.odds = {**kept, **odds}
        world.later(for_ms, setattr, runner, "odds", kept)


def srv_grey(world, random):
    spoil(world, random, GREY[random.choice(sorted(GREY))], random.uniform(500, 6000))


def answer_lost(world, random):
    spoil(world, random, {"lose": 0.06}, random.uniform(1000, 6000))


def garble(world, random):
    spoil(world, random, random.choice(({"cut": 0.1}, {"noise": 0.1}, {"surplus": 0.1})), random.uniform(1000, 6000))


def srv_slow(world, random):
    for runner in some(world, random, 0.3):
        kept = runner.pace_ms
        runner.pace_ms = kept * random.choice((4, 8))
        world.later(random.uniform(1000, 8000), setattr, runner, "pace_ms", kept)


def srv_crash(world, random):
    for _ in range(random.choice((1, 1, 2))):
        works.crash_runner(world, random)


def scale_out(world, random):
    for number, runner in enumerate(some(world, random, 0.3)):
        world.later(
            number * 400,
            worlds.add_runner,
            world,
            runner.service,
            runner.slots,
            runner.streams,
            runner.zone,
            None,
            dict(runner.odds),
        )


def release(world, random):
    """Runners of all services are replaced one after another, the new one first."""
    for number in range(random.randint(2, 5)):
        world.later(number * random.uniform(500, 1500), works.drain_runner, world, random)


def spot(world, random):
    """A runner is gone two seconds after its notice; another comes later."""
    runner = random.choice([r for r in world.runners.values() if not r.draining])
    world.listing.change(runner, "draining")
    runner.draining = True
    world.later(2000, works.end_runner, world, random, runner)
    world.later(
        4000, worlds.add_runner, world, runner.service, runner.slots, runner.streams, runner.zone, None, runner.odds
    )


def burst(world, random):
    world.crowd.arrive(world.now_ms() + random.uniform(1000, 4000), 40)
