"""Faults of the core simulation: each is a function of (world, random)."""

from . import world as worlds


def split(random, names):
    """Split names at random into two groups, neither empty."""
    names = list(names)
    random.shuffle(names)
    at = random.randint(1, len(names) - 1)
    return names[:at], names[at:]


def revive(world, name):
    """Start a node again if it is down."""
    if world.nodes[name].core is None:
        worlds.start(world, name)


def kill_one(world, random, power=False):
    """Kill one node and start it again later."""
    name = random.choice(sorted(world.nodes))
    worlds.kill(world, name, power)
    worlds.at(world, random.uniform(50, 3000), "call", revive, name)


def power_one(world, random):
    """Cut one node's power; what was not synced may be lost."""
    kill_one(world, random, True)


def all_down(world, random):
    """Cut the power of all nodes."""
    for name in world.nodes:
        worlds.kill(world, name, True)
        worlds.at(world, random.uniform(100, 1500), "call", revive, name)


def voters_down(world):
    """Cut the power of all storage nodes."""
    for name in storages(world):
        worlds.kill(world, name, True)
        worlds.at(world, 100 + 10 * len(name), "call", revive, name)


def power_after_ack(world, random):
    """Cut the power of all storage nodes right after the next operation is decided."""
    world.trap = True
    for name in storages(world):
        world.nodes[name].disk.delay_ms = 40
        worlds.at(world, 1500, "call", quick_disk, name)


def freeze_one(world, random):
    """Freeze one node and let it go on later."""
    name = random.choice(sorted(world.nodes))
    worlds.freeze(world, name)
    worlds.at(world, random.uniform(50, 3500), "call", worlds.thaw, name)


def cut_some(world, random):
    """Cut the network in two."""
    left, right = split(random, world.nodes)
    worlds.cut(world, left, right, one_way=random.random() < 0.3)
    worlds.at(world, random.uniform(100, 3000), "call", mend)


def cut_pairs(world, random):
    """Cut a few links between pairs of nodes."""
    for _ in range(random.randint(1, 4)):
        a, b = random.sample(sorted(world.nodes), 2)
        worlds.cut(world, [a], [b], one_way=random.random() < 0.5)
    worlds.at(world, random.uniform(100, 4000), "call", mend)


def cut_zone(world, random):
    """Cut one zone off."""
    zone = random.choice("abc")
    inside = [n.name for n in world.nodes.values() if n.zone == zone]
    worlds.cut(world, inside, [n for n in world.nodes if n not in inside])
    worlds.at(world, random.uniform(100, 4000), "call", mend)


def cut_three(world, random):
    """Cut the network in three."""
    left, rest = split(random, world.nodes)
    worlds.cut(world, left, rest)
    if len(rest) > 1:
        worlds.cut(world, *split(random, rest))
    worlds.at(world, random.uniform(100, 3000), "call", mend)


def mend(world):
    """Mend all cuts and stop losing messages."""
    world.cuts.clear()
    world.loss_rate = 0.0


def lossy(world, random):
    """Lose a share of all messages for a while."""
    world.loss_rate = random.uniform(0.01, 0.2)
    worlds.at(world, random.uniform(100, 2000), "call", mend)


def slow_disk(world, random):
    """Slow down one storage node's disk for a while."""
    name = random.choice(storages(world))
    world.nodes[name].disk.delay_ms = random.choice([50, 400, 1500])
    worlds.at(world, random.uniform(200, 2500), "call", quick_disk, name)


def quick_disk(world, name):
    """Give a node's disk its normal speed back."""
    world.nodes[name].disk.delay_ms = 3


def storages(world):
    """Return the names of the storage nodes."""
    return [n.name for n in world.nodes.values() if n.role == "storage"]


def lose_disk(world, random):
    """Replace one storage node's disk by an empty one, if all the others are full copies."""
    full = [
        n
        for n in storages(world)
        if world.nodes[n].core is not None
        and world.nodes[n].core.synchrony.primary.ready
        and world.nodes[n].core.synchrony.primary.opened
    ]
    if len(full) < len(storages(world)):
        return
    name = random.choice(full)
    worlds.kill(world, name, True)
    world.nodes[name].disk.lasting = []
    worlds.at(world, random.uniform(50, 2000), "call", revive, name)


FAULTS = {
    "kill": kill_one,
    "power": power_one,
    "all_down": all_down,
    "freeze": freeze_one,
    "cut": cut_some,
    "pairs": cut_pairs,
    "three": cut_three,
    "zone": cut_zone,
    "lossy": lossy,
    "slow_disk": slow_disk,
    "lose_disk": lose_disk,
    "ack_power": power_after_ack,
}


def heal(world):
    """End all faults and start every node."""
    mend(world)
    for name, node in world.nodes.items():
        node.disk.delay_ms = 3
        revive(world, name)
        worlds.thaw(world, name)
