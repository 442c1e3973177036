"""Faults of the core simulation, each a function of (world, random)."""

from . import world as worlds


def random_split(random, names):
    """Split names at random into two groups, neither of them empty."""
    names = list(names)
    random.shuffle(names)
    position = random.randint(1, len(names) - 1)
    return names[:position], names[position:]


def restart(world, name):
    """Start a node if it is down."""
    if world.nodes[name].core is None:
        worlds.start(world, name)


def kill_node(world, random, power=False):
    """Kill one node and restart it later. power: cut its power, so that unsynced records may be lost."""
    name = random.choice(sorted(world.nodes))
    worlds.kill(world, name, power)
    worlds.schedule(world, random.uniform(50, 3000), "call", restart, name)


def power_off_node(world, random):
    """Cut one node's power and restart it later; unsynced records may be lost."""
    kill_node(world, random, True)


def power_off_all(world, random):
    """Cut the power of all nodes."""
    for name in world.nodes:
        worlds.kill(world, name, True)
        worlds.schedule(world, random.uniform(100, 1500), "call", restart, name)


def power_off_storage(world):
    """Cut the power of all storage nodes."""
    for name in storage_names(world):
        worlds.kill(world, name, True)
        worlds.schedule(world, 100 + 10 * len(name), "call", restart, name)


def power_off_after_decision(world, random):
    """Cut the power of all storage nodes right after the next operation is decided, with slow disks until later."""
    world.power_cut_pending = True
    for name in storage_names(world):
        world.nodes[name].disk.delay_ms = 40
        worlds.schedule(world, 1500, "call", reset_disk_speed, name)


def freeze_node(world, random):
    """Freeze one node and resume it later."""
    name = random.choice(sorted(world.nodes))
    worlds.freeze(world, name)
    worlds.schedule(world, random.uniform(50, 3500), "call", worlds.thaw, name)


def partition_in_two(world, random):
    """Partition the network in two."""
    left, right = random_split(random, world.nodes)
    worlds.cut_links(world, left, right, one_way=random.random() < 0.3)
    worlds.schedule(world, random.uniform(100, 3000), "call", restore_network)


def partition_pairs(world, random):
    """Block the links between a few pairs of nodes."""
    for _ in range(random.randint(1, 4)):
        left, right = random.sample(sorted(world.nodes), 2)
        worlds.cut_links(world, [left], [right], one_way=random.random() < 0.5)
    worlds.schedule(world, random.uniform(100, 4000), "call", restore_network)


def isolate_zone(world, random):
    """Cut one zone off from the others."""
    zone = random.choice("abc")
    inside = [n.name for n in world.nodes.values() if n.zone == zone]
    worlds.cut_links(world, inside, [n for n in world.nodes if n not in inside])
    worlds.schedule(world, random.uniform(100, 4000), "call", restore_network)


def partition_in_three(world, random):
    """Partition the network in three."""
    left, others = random_split(random, world.nodes)
    worlds.cut_links(world, left, others)
    if len(others) > 1:
        worlds.cut_links(world, *random_split(random, others))
    worlds.schedule(world, random.uniform(100, 3000), "call", restore_network)


def restore_network(world):
    """Restore all cut links and stop message loss."""
    world.cuts.clear()
    world.loss_rate = 0.0


def lose_messages(world, random):
    """Lose a fraction of all messages for a while."""
    world.loss_rate = random.uniform(0.01, 0.2)
    worlds.schedule(world, random.uniform(100, 2000), "call", restore_network)


def slow_disk(world, random):
    """Slow down one storage node's disk for a while."""
    name = random.choice(storage_names(world))
    world.nodes[name].disk.delay_ms = random.choice([50, 400, 1500])
    worlds.schedule(world, random.uniform(200, 2500), "call", reset_disk_speed, name)


def reset_disk_speed(world, name):
    """Set a node's disk back to its normal speed."""
    world.nodes[name].disk.delay_ms = 3


def storage_names(world):
    """Return the names of the storage nodes."""
    return [n.name for n in world.nodes.values() if n.role == "storage"]


def lose_disk(world, random):
    """Replace one storage node's disk by an empty one, if all storage nodes have complete logs."""
    complete = [
        n
        for n in storage_names(world)
        if world.nodes[n].core is not None
        and world.nodes[n].core.synchrony.primary.ready
        and world.nodes[n].core.synchrony.primary.opened
    ]
    if len(complete) < len(storage_names(world)):
        return
    name = random.choice(complete)
    worlds.kill(world, name, True)
    world.nodes[name].disk.synced_records = []
    worlds.schedule(world, random.uniform(50, 2000), "call", restart, name)


FAULTS = {
    "kill": kill_node,
    "power": power_off_node,
    "all_down": power_off_all,
    "freeze": freeze_node,
    "cut": partition_in_two,
    "pairs": partition_pairs,
    "three": partition_in_three,
    "zone": isolate_zone,
    "lossy": lose_messages,
    "slow_disk": slow_disk,
    "lose_disk": lose_disk,
    "ack_power": power_off_after_decision,
}


def end_all_faults(world):
    """End all faults and start every node."""
    restore_network(world)
    for name, node in world.nodes.items():
        node.disk.delay_ms = 3
        restart(world, name)
        worlds.thaw(world, name)
