"""Troubles of one machine or many: slow, stepped clocks, full and stalled disks, resets, herds."""

from . import bearing, returns
from . import world as worlds
from .troubles import back, begin, disk_well, over

STUTTER_MS = 100


def node_slow(world, random):
    """A machine gets a fraction of its processor: it stands still for most of each tenth of a second."""
    daemon = bearing.victim(world, random, "storage", "core", "edge", "edge")
    if daemon is None:
        return
    trouble, life = begin(world, "slow", [daemon.name]), daemon.host.life
    until_ms = world.now_ms() + bearing.lasting_ms(random)
    stopped_ms = random.choice((30, 60, 80))

    def stutter():
        if daemon.host.life != life or world.now_ms() >= until_ms or trouble.until_ms < world.now_ms():
            over(world, trouble)
            return
        daemon.host.freeze()
        world.later(stopped_ms, resume)
        world.later(STUTTER_MS, stutter)

    def resume():
        if daemon.host.life == life:
            daemon.host.thaw()

    stutter()


def clock_step(world, random):
    """The time of day jumps on some machines, and back again later."""
    daemons = [d for d in world.daemons.values() if random.random() < 0.3]
    step_s, for_ms = random.choice((-2.0, 2.0, 3600.0, -3600.0)), bearing.lasting_ms(random)
    for daemon in daemons:
        daemon.wall_offset_s += step_s
        world.later(for_ms, step_back, daemon, step_s)


def step_back(daemon, step_s):
    daemon.wall_offset_s -= step_s


def disk_slow(world, random):
    disk_trouble(
        world, random, "slow disk", lambda drive: setattr(drive, worlds.DELAY, random.choice((50, 150, 400, 2000)))
    )


def disk_stall(world, random):
    """A disk answers nothing for seconds."""
    disk_trouble(world, random, "slow disk", lambda drive: setattr(drive, worlds.DELAY, random.uniform(2000, 6000)))


def disk_full(world, random):
    disk_trouble(world, random, "bad disk", lambda drive: setattr(drive, "room", worlds.drives.used(drive)))


def disk_trouble(world, random, kind, strike):
    daemon = bearing.victim(world, random, "storage", "core", how=random.choice(("", "leader")))
    if daemon is None:
        return
    trouble = begin(world, kind, [daemon.name])
    strike(daemon.drive)
    world.later(bearing.lasting_ms(random), disk_well, world, daemon, trouble)


def reset_conns(world, random):
    """Half of some machines' connections are reset, again and again for a while."""
    daemons = [d for d in world.daemons.values() if d.host.alive and random.random() < 0.2]
    counted = [d.name for d in daemons if d.role != "edge"]
    if not bearing.bears(world, bearing.lost(world) | set(counted)):
        daemons = [d for d in daemons if d.role == "edge"]
    trouble = begin(world, "resets", [d.name for d in daemons])
    until_ms = world.now_ms() + random.uniform(200, 5000)

    def strike():
        for daemon in daemons:
            for wire in list(daemon.host.wires):
                if daemon.host.alive and not daemon.host.frozen and random.random() < 0.5:
                    wire.abortConnection()
        if world.now_ms() < until_ms:
            world.later(random.uniform(300, 1000), strike)
        else:
            over(world, trouble)

    strike()


def herd_kill(world, random):
    """A share of the edges, or all counted machines, are killed at once; their disks come back."""
    core = random.random() < 0.4
    daemons = world.of("storage", "core") if core else [d for d in world.of("edge") if random.random() < 0.6]
    kill_all(world, random, [d for d in daemons if d.host.alive], random.random() < 0.5)


def herd_power_taken(world, random):
    """All counted machines lose power right after a client's work was accepted."""

    def strike(_):
        world.notes.tap = lambda request: None
        kill_all(world, random, [d for d in world.of("storage", "core") if d.host.alive], True)

    world.notes.tap = strike


def kill_all(world, random, daemons, power):
    if not daemons:
        return
    trouble, waits_ms = begin(world, "all down", [d.name for d in daemons]), []
    for daemon in daemons:
        worlds.kill(world, daemon, power)
        waits_ms.append(random.uniform(100, 2500))
        world.later(waits_ms[-1], worlds.start, world, daemon)
    world.later(max(waits_ms), over, world, trouble)


def node_kill(world, random, how=None):
    """A machine is killed or loses power; on return a change may meet it."""
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
    """All machines of a zone are down or cut off, where the deployment is to bear that."""
    zone = random.choice(world.zones)
    daemons = [d for d in world.daemons.values() if d.zone == zone and not d.gone]
    names = {d.name for d in daemons if d.role != "edge"}
    if world.shape.tolerated_zones < 1 or not bearing.bears(world, bearing.lost(world) | names):
        return
    trouble, for_ms = begin(world, "zone", [d.name for d in daemons]), bearing.lasting_ms(random)
    if random.random() < 0.5:
        from .machine_cuts import addresses, cut, pairs_between

        rest = [d for d in world.daemons.values() if d not in daemons]
        cut(world, pairs_between(random, addresses(daemons), addresses(rest), False), trouble, for_ms)
        return
    for daemon in daemons:
        worlds.kill(world, daemon, random.random() < 0.5)
        world.later(for_ms, back, world, daemon, trouble)


def after_ack(world, random, wiped):
    """The machine that acknowledges a change, or counted ones drawn by lot, lose power at once or soon after."""
    count, timed = random.choice((1, 1, max(1, world.shape.tolerated))), random.random() < 0.4

    def strike(control):
        world.notes.on_acknowledged = lambda control: None
        acker = next((d for d in world.of("core") if d.host.address == control), None)
        drawn = [acker] if acker is not None and not wiped else []
        for _ in range(count):
            daemon = drawn.pop() if drawn else bearing.victim(world, random, "storage", "core")
            if daemon is not None and daemon.host.alive and bearing.may_fall(world, daemon):
                fall(daemon)

    def fall(daemon):
        trouble = begin(world, "after ack", [daemon.name])
        (worlds.wipe if wiped else worlds.kill)(world, daemon, *(() if wiped else (True,)))
        world.later(random.uniform(200, 3000), back, world, daemon, trouble)

    if timed:
        world.later(random.uniform(5, 400), strike, "")
        change_now(world)
    else:
        world.notes.on_acknowledged = strike


def change_now(world):
    if world.now_ms() < world.changes_until_ms:
        world.operators[0].modify(world.now_ms() + 6000)


def after_ack_kill(world, random):
    after_ack(world, random, False)


def after_ack_wipe(world, random):
    after_ack(world, random, True)
