"""Runner faults and planned maintenance: crashes, slow responses, grey failures, scaling, rollouts."""

from . import works
from . import world as worlds

GREY_FAILURES = {
    "errors": {"fail": 0.4},
    "shed": {"shed": 0.4},
    "busy": {"shed": 0.8},
    "hang": {"silent": 0.4},
    "reset": {"lose": 0.4},
    "mute": {"silent": 1.0},
}


def random_runners(world, random, share):
    """Return a random share, at least one, of the runners of a random service that are not draining."""
    service = random.choice(sorted({r.service for r in world.runners.values()}))
    candidates = [r for r in world.runners.values() if r.service == service and not r.draining]
    return [runner for index, runner in enumerate(candidates) if index == 0 or random.random() < share]


def change_odds(world, random, odds, for_ms):
    for runner in random_runners(world, random, 0.4):
        original = runner.odds
        runner.odds = {**original, **odds}
        world.later(for_ms, setattr, runner, "odds", original)


def srv_grey(world, random):
    change_odds(world, random, GREY_FAILURES[random.choice(sorted(GREY_FAILURES))], random.uniform(500, 6000))


def answer_lost(world, random):
    change_odds(world, random, {"lose": 0.06}, random.uniform(1000, 6000))


def garble(world, random):
    change_odds(
        world, random, random.choice(({"cut": 0.1}, {"noise": 0.1}, {"surplus": 0.1})), random.uniform(1000, 6000)
    )


def srv_slow(world, random):
    for runner in random_runners(world, random, 0.3):
        original = runner.pace_ms
        runner.pace_ms = original * random.choice((4, 8))
        world.later(random.uniform(1000, 8000), setattr, runner, "pace_ms", original)


def srv_crash(world, random):
    for _ in range(random.choice((1, 1, 2))):
        works.crash_runner(world, random)


def scale_out(world, random):
    for number, runner in enumerate(random_runners(world, random, 0.3)):
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
    """Roll out replacements for several runners, each started before the old one drains."""
    for number in range(random.randint(2, 5)):
        world.later(number * random.uniform(500, 1500), works.drain_runner, world, random)


def spot(world, random):
    """Reclaim a runner two seconds after its notice, as for a spot instance, and add another later."""
    runner = random.choice([r for r in world.runners.values() if not r.draining])
    world.listing.change(runner, "draining")
    runner.draining = True
    world.later(2000, works.end_runner, world, random, runner)
    world.later(
        4000, worlds.add_runner, world, runner.service, runner.slots, runner.streams, runner.zone, None, runner.odds
    )


def burst(world, random):
    world.crowd.arrive(world.now_ms() + random.uniform(1000, 4000), 40)
