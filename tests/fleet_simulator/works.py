"""Work that is planned on the machines, and what befalls the runners and their list."""

from . import troubles as troubles
from . import world as worlds
from .notes import Trouble


def add_storage(world, random):
    if len(world.of("storage")) > 6:
        return
    world.serial += 1
    fresh = worlds.add(world, f"storage-x{world.serial}", "storage", random.choice(world.zones))
    fresh.first = False
    trouble = troubles.begin(world, "add", [])
    world.later(500, troubles.back, world, fresh, trouble)


def roll_edge(world, random):
    """SIGTERM, and a start after the end."""
    edges = [d for d in world.of("edge") if d.host.alive and d.owner is not None and not d.owner.leaving]
    if not edges:
        return
    daemon = random.choice(edges)
    trouble = troubles.begin(world, "roll", [daemon.name])
    worlds.leave(world, daemon)
    world.later(8000, worlds.kill, world, daemon)
    world.later(8200, troubles.back, world, daemon, trouble)


def roll_storage(world, random):
    daemon = troubles.victim(world, random, "storage")
    if daemon is None:
        return
    trouble = troubles.begin(world, "roll", [daemon.name])
    worlds.leave(world, daemon)
    world.later(2500, worlds.kill, world, daemon)
    world.later(2700, troubles.back, world, daemon, trouble)


def drain_runner(world, random):
    runner = random.choice([r for r in world.runners.values() if not r.draining])
    listing, drain_ms = world.listing, world.notes.sheet["drain"]
    listing.change(runner, "draining")
    shown_ms = listing.lag_ms
    runner.draining = True
    worlds.add_runner(world, runner.service, runner.slots, runner.streams, runner.zone, odds=runner.odds)
    world.later(shown_ms + drain_ms + 1500, end_runner, world, random, runner)


def end_runner(world, random, runner):
    runner.host.die(False)
    world.listing.change(runner, "gone")
    if random.random() < 0.5:
        runner.host.boot()
        other = random.choice([r for r in world.runners.values() if r.service != runner.service])
        world.later(2000, worlds.add_runner, world, other.service, other.slots, other.streams, runner.zone, runner.host)


def crash_runner(world, random):
    """A runner dies and stays on the list for a while; another life starts elsewhere."""
    runner = random.choice([r for r in world.runners.values() if not r.draining])
    runner.draining = True
    runner.host.die(random.random() < 0.5)
    world.later(2500, world.listing.change, runner, "gone")
    world.later(
        1000, worlds.add_runner, world, runner.service, runner.slots, runner.streams, runner.zone, None, runner.odds
    )


def freeze_runner(world, random):
    runner = random.choice([r for r in world.runners.values() if not r.draining])
    runner.host.freeze()
    world.later(random.uniform(500, 4000), runner.host.thaw)


def list_down(world, random):
    trouble = Trouble("list", (), world.now_ms())
    world.notes.list_troubles.append(trouble)
    world.listing.down = True

    def up():
        world.listing.down, trouble.until_ms = False, world.now_ms()

    world.later(random.uniform(500, 9000), up)


KINDS = {
    "after_ack": troubles.after_ack,
    "storage_power": troubles.storage_power,
    "cut_halves": troubles.cut_halves,
    "freeze_many": troubles.freeze_many,
    "kill": troubles.kill_one,
    "kill_storage": troubles.kill_storage,
    "wipe": troubles.wipe_one,
    "freeze": troubles.freeze_one,
    "freeze_storage": troubles.freeze_storage,
    "freeze_edge": troubles.freeze_edge,
    "cut": troubles.cut_one,
    "cut_edge": troubles.cut_edge,
    "slow_disk": troubles.slow_disk,
    "bad_disk": troubles.bad_disk,
    "replace": troubles.replace_one,
    "add_storage": add_storage,
    "roll_edge": roll_edge,
    "roll_storage": roll_storage,
    "drain": drain_runner,
    "crash_runner": crash_runner,
    "freeze_runner": freeze_runner,
    "list_down": list_down,
}
