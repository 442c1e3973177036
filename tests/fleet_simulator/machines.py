"""Machine faults: slow CPUs, clock steps, full and stalled disks, connection resets, mass restarts."""

from . import bearing, returns
from . import world as worlds
from .troubles import back, begin, disk_well, over

FREEZE_PERIOD_MS = 100


def node_slow(world, random):
    """Starve a machine of CPU by freezing it for a part of every FREEZE_PERIOD_MS."""
    daemon = bearing.victim(world, random, "storage", "core", "edge", "edge")
    if daemon is None:
        return
    trouble, life = begin(world, "slow", [daemon.name]), daemon.host.generation
    until_ms = world.now_ms() + bearing.lasting_ms(random)
    frozen_ms = random.choice((30, 60, 80))

    def freeze_repeatedly():
        if daemon.host.generation != life or world.now_ms() >= until_ms or trouble.until_ms < world.now_ms():
            over(world, trouble)
            return
        daemon.host.freeze()
        world.later(frozen_ms, resume)
        world.later(FREEZE_PERIOD_MS, freeze_repeatedly)

    def resume():
        if daemon.host.generation == life:
            daemon.host.thaw()

    freeze_repeatedly()


def clock_step(world, random):
    """Step the wall clock of some machines and step it back later."""
    daemons = [d for d in world.daemons.values() if random.random() < 0.3]
    step_s, for_ms = random.choice((-2.0, 2.0, 3600.0, -3600.0)), bearing.lasting_ms(random)
    for daemon in daemons:
        daemon.wall_offset_s += step_s
        world.later(for_ms, step_back, daemon, step_s)


def step_back(daemon, step_s):
    daemon.wall_offset_s -= step_s


def disk_slow(world, random):
    inject_disk_fault(
        world, random, "slow disk", lambda disk: setattr(disk, worlds.DELAY, random.choice((50, 150, 400, 2000)))
    )


def disk_stall(world, random):
    """Stall a disk for several seconds."""
    inject_disk_fault(world, random, "slow disk", lambda disk: setattr(disk, worlds.DELAY, random.uniform(2000, 6000)))


def disk_full(world, random):
    inject_disk_fault(
        world, random, "bad disk", lambda disk: setattr(disk, "capacity_bytes", worlds.simulated_disk.used_bytes(disk))
    )


def inject_disk_fault(world, random, kind, inject):
    daemon = bearing.victim(world, random, "storage", "core", how=random.choice(("", "leader")))
    if daemon is None:
        return
    trouble = begin(world, kind, [daemon.name])
    inject(daemon.disk)
    world.later(bearing.lasting_ms(random), disk_well, world, daemon, trouble)


def reset_conns(world, random):
    """Repeatedly reset about half of the connections of some machines."""
    daemons = [d for d in world.daemons.values() if d.host.alive and random.random() < 0.2]
    core_names = [d.name for d in daemons if d.role != "edge"]
    if not bearing.bears(world, bearing.lost(world) | set(core_names)):
        daemons = [d for d in daemons if d.role == "edge"]
    trouble = begin(world, "resets", [d.name for d in daemons])
    until_ms = world.now_ms() + random.uniform(200, 5000)

    def inject():
        for daemon in daemons:
            for wire in list(daemon.host.connections):
                if daemon.host.alive and not daemon.host.frozen and random.random() < 0.5:
                    wire.abortConnection()
        if world.now_ms() < until_ms:
            world.later(random.uniform(300, 1000), inject)
        else:
            over(world, trouble)

    inject()


def herd_kill(world, random):
    """Kill a share of the edges, or all storage and core machines, at once; disks survive."""
    core = random.random() < 0.4
    daemons = world.of("storage", "core") if core else [d for d in world.of("edge") if random.random() < 0.6]
    kill_and_restart(world, random, [d for d in daemons if d.host.alive], random.random() < 0.5)


def herd_power_taken(world, random):
    """Cut the power of all storage and core machines right after a client request was accepted."""

    def inject(_):
        world.notes.tap = lambda request: None
        kill_and_restart(world, random, [d for d in world.of("storage", "core") if d.host.alive], True)

    world.notes.tap = inject


def kill_and_restart(world, random, daemons, power):
    if not daemons:
        return
    trouble, restart_delays_ms = begin(world, "all down", [d.name for d in daemons]), []
    for daemon in daemons:
        worlds.kill(world, daemon, power)
        restart_delays_ms.append(random.uniform(100, 2500))
        world.later(restart_delays_ms[-1], worlds.start, world, daemon)
    world.later(max(restart_delays_ms), over, world, trouble)


def node_kill(world, random, how=None):
    """Kill a machine or cut its power; a configuration change may coincide with its return."""
    how = random.choice(("", "", "leader", "reader", "seed")) if how is None else how
    roles = random.choice((("storage", "core"), ("edge",), ("storage", "core", "edge")))
    daemon = bearing.victim(world, random, *roles, how=how)
    if daemon is None:
        return
    trouble, for_ms = begin(world, "kill", [daemon.name]), bearing.lasting_ms(random)
    worlds.kill(world, daemon, random.random() < 0.5)
    returns.during(world, random, daemon, for_ms)

    def returned():
        back(world, daemon, trouble)
        returns.after(world, random, daemon)

    world.later(for_ms, returned)


def zone_lost(world, random):
    """Stop or partition all machines of a zone, if the deployment tolerates the loss of a zone."""
    zone = random.choice(world.zones)
    daemons = [d for d in world.daemons.values() if d.zone == zone and not d.gone]
    names = {d.name for d in daemons if d.role != "edge"}
    if world.shape.tolerated_zones < 1 or not bearing.bears(world, bearing.lost(world) | names):
        return
    trouble, for_ms = begin(world, "zone", [d.name for d in daemons]), bearing.lasting_ms(random)
    if random.random() < 0.5:
        from .machine_cuts import addresses, cut, pairs_between

        others = [d for d in world.daemons.values() if d not in daemons]
        cut(world, pairs_between(random, addresses(daemons), addresses(others), False), trouble, for_ms)
        return
    for daemon in daemons:
        worlds.kill(world, daemon, random.random() < 0.5)
        world.later(for_ms, back, world, daemon, trouble)


def after_ack(world, random, wiped):
    """Fail the core that acknowledged a change, or random storage and core machines, at once or soon after."""
    count, delayed = random.choice((1, 1, max(1, world.shape.tolerated))), random.random() < 0.4

    def inject(control):
        world.notes.on_acknowledged = lambda control: None
        acknowledging_core = next((d for d in world.of("core") if d.host.address == control), None)
        candidates = [acknowledging_core] if acknowledging_core is not None and not wiped else []
        for _ in range(count):
            daemon = candidates.pop() if candidates else bearing.victim(world, random, "storage", "core")
            if daemon is not None and daemon.host.alive and bearing.may_fall(world, daemon):
                fail(daemon)

    def fail(daemon):
        trouble = begin(world, "after ack", [daemon.name])
        (worlds.wipe if wiped else worlds.kill)(world, daemon, *(() if wiped else (True,)))
        world.later(random.uniform(200, 3000), back, world, daemon, trouble)

    if delayed:
        world.later(random.uniform(5, 400), inject, "")
        modify_configuration(world)
    else:
        world.notes.on_acknowledged = inject


def modify_configuration(world):
    if world.now_ms() < world.changes_until_ms:
        world.operators[0].modify(world.now_ms() + 6000)


def after_ack_kill(world, random):
    after_ack(world, random, False)


def after_ack_wipe(world, random):
    after_ack(world, random, True)
