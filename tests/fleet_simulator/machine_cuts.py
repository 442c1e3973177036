"""Network partitions between storage and core machines, around a single machine, and across the fleet."""

from . import bearing, returns
from . import world as worlds
from .notes import Isolation
from .troubles import back, begin, over

CUT_ODDS = {"one_way": 0.3, "both": 0.2, "seeds": 0.2}


def addresses(daemons):
    return [d.host.address for d in daemons]


def pairs_between(random, sources, targets, one_way):
    """Return the directed address pairs that a partition blocks; a one-way partition blocks a random direction."""
    outward = {(source, target) for source in sources for target in targets if source != target}
    inward = {(target, source) for source, target in outward}
    if one_way:
        return outward if random.random() < 0.5 else inward
    return outward | inward


def cut(world, pairs, trouble, for_ms, on_healed=lambda: None):
    """Block the pairs for a while. Returns the function that heals this partition and leaves overlapping ones."""
    world.cuts.append(pairs)
    world.net.cuts |= pairs

    def heal():
        if pairs in world.cuts:
            world.cuts.remove(pairs)
        world.net.cuts.difference_update(pairs)
        world.net.cuts.update(*world.cuts)
        over(world, trouble)
        on_healed()

    world.later(for_ms, heal)
    return heal


def storage_and_cores(world):
    return world.of("storage", "core")


def core_cut(world, random, how=None, for_ms=None, one_way=None):
    """Partition a storage or core machine from the other ones; edges still reach it."""
    how = random.choice(("", "", "leader", "reader", "seed")) if how is None else how
    daemon = bearing.victim(world, random, "storage", "core", how=how)
    if daemon is None:
        return None
    one_way = random.random() < CUT_ODDS["one_way"] if one_way is None else one_way
    for_ms = bearing.lasting_ms(random) if for_ms is None else for_ms
    trouble = begin(world, "core cut", [daemon.name])
    others = [d for d in storage_and_cores(world) if d is not daemon]
    pairs = pairs_between(random, addresses([daemon]), addresses(others), one_way)
    heal = cut(world, pairs, trouble, for_ms, lambda: returns.after(world, random, daemon))
    if random.random() < CUT_ODDS["both"]:
        world.later(for_ms * random.uniform(0.1, 0.7), restart_partitioned, world, random, daemon, others)
    if random.random() < CUT_ODDS["seeds"]:
        restart_edges_with_seed(world, random, daemon)
    returns.during(world, random, daemon, for_ms)
    return daemon, heal


def restart_partitioned(world, random, daemon, others):
    """Restart the partitioned machine and sometimes all other storage and core machines after it."""
    if not daemon.gone:
        worlds.kill(world, daemon, random.random() < 0.5)
        world.later(random.uniform(200, 800), worlds.start, world, daemon)
    if random.random() < 0.5:
        world.later(random.uniform(500, 2500), restart_all, world, random, others)


def restart_all(world, random, daemons):
    daemons = [d for d in daemons if d.host.alive and not d.gone]
    trouble = begin(world, "all down", [d.name for d in daemons])
    for daemon in daemons:
        worlds.kill(world, daemon, False)
        world.later(random.uniform(200, 900), worlds.start, world, daemon)
    world.later(900, over, world, trouble)


def restart_edges_with_seed(world, random, daemon):
    """Put the partitioned machine first in the seed list and restart some edges with that list."""
    if daemon.role == "core":
        control_address = f"{daemon.host.address}:{worlds.CONTROL}"
        world.seeds[:] = [control_address, *(seed for seed in world.seeds if seed != control_address)][
            : max(1, len(world.seeds))
        ]
    for edge in world.of("edge"):
        if edge.host.alive and random.random() < 0.4:
            trouble = begin(world, "kill", [edge.name])
            worlds.kill(world, edge, False)
            world.later(random.uniform(100, 600), back, world, edge, trouble)


def node_cut(world, random, *roles):
    """Partition an edge from all storage and core machines, or another machine from all others."""
    daemon = bearing.victim(world, random, *(roles or ("edge", "edge", "storage", "core")))
    if daemon is None:
        return
    trouble, one_way, for_ms = begin(world, "cut", [daemon.name]), random.random() < 0.3, bearing.lasting_ms(random)
    others = storage_and_cores(world) if daemon.role == "edge" else list(world.daemons.values())
    pairs = pairs_between(random, addresses([daemon]), addresses(others), one_way)
    if daemon.role == "edge" and not one_way:
        world.notes.isolations.append(Isolation(daemon.host.address, world.now_ms(), world.now_ms() + for_ms))
    cut(world, pairs, trouble, for_ms, lambda: returns.after(world, random, daemon))


def edge_cut(world, random):
    node_cut(world, random, "edge")


def runner_cut(world, random):
    """Partition some runners from all daemons."""
    runners = [r.host.address for r in world.runners.values() if random.random() < 0.3]
    trouble = begin(world, "runner cut", [d.name for d in world.of("edge")])
    cut(
        world,
        pairs_between(random, runners, addresses(world.daemons.values()), False),
        trouble,
        bearing.lasting_ms(random),
    )


def halves(world, random):
    """Split all machines into two sides, sometimes with one direction still open."""
    daemons = [d for d in world.daemons.values() if not d.gone]
    side = [d for d in daemons if random.random() < 0.5]
    trouble = begin(world, "halves", [d.name for d in daemons])
    other_side = [d for d in daemons if d not in side]
    pairs = pairs_between(random, addresses(side), addresses(other_side), random.random() < 0.3)
    cut(world, pairs, trouble, bearing.lasting_ms(random))
