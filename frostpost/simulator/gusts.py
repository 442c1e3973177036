from frostpost.testbed import platform as platforms
from . import drives, valley as valleys
from .valley import kill, later, revive, warn


def anyDaemon(valley, random, role=None):
    return random.choice([n for n, d in valley.daemons.items() if role in (None, d.settings.role)])


def killOne(valley, random, power=False):
    name = anyDaemon(valley, random)
    kill(valley, name, power)
    later(valley, random.uniform(50, 3000), revive, valley, name)


def powerOne(valley, random):
    killOne(valley, random, True)


def allDown(valley, random):
    power = random.random() < 0.5
    lost = anyDaemon(valley, random, "storage")
    for name in valley.daemons:
        kill(valley, name, power)
        later(valley, random.uniform(100, 1500), revive, valley, name)
    if random.random() < 0.5 and whole(valley, lost):
        drives.wipe(valley.daemons[lost].drive)


def whole(valley, lost):
    full = [
        n
        for n, d in valley.daemons.items()
        if d.settings.role == "storage"
        and n != lost
        and d.host.alive
        and d.ctx is not None
        and d.ctx.core.hedge.primary.ready
        and d.ctx.core.hedge.primary.opened
    ]
    return len(full) * 2 > sum(d.settings.role == "storage" for d in valley.daemons.values())


def loseDisk(valley, random):
    name = anyDaemon(valley, random, "storage")
    if not whole(valley, name):
        return
    kill(valley, name, True)
    drives.wipe(valley.daemons[name].drive)
    later(valley, random.uniform(50, 2000), revive, valley, name)


def rotDisk(valley, random):
    name = anyDaemon(valley, random, "storage")
    if not whole(valley, name):
        return
    kill(valley, name)
    drives.rot(valley.daemons[name].drive, f"/{name}/{random.choice(('log', 'bodies'))}", random)
    later(valley, random.uniform(50, 1000), revive, valley, name)


def diskFaults(valley, random):
    name = anyDaemon(valley, random, "storage")
    if whole(valley, name):
        valley.daemons[name].drive.broken[random.choice(("write", "sync", "open", "replace"))] = random.randint(1, 3)


def fullDisk(valley, random):
    drive = valley.daemons[anyDaemon(valley, random, "storage")].drive
    drive.room = drives.used(drive) + random.randint(0, 200)
    later(valley, random.uniform(300, 3000), makeRoom, drive)


def makeRoom(drive):
    drive.room = 1 << 40


def slowDisk(valley, random):
    drive = valley.daemons[anyDaemon(valley, random)].drive
    drive.delayMs = random.choice([50, 400, 1500, 3500])
    later(valley, random.uniform(500, 4500), quickDisk, drive)


def quickDisk(drive):
    drive.delayMs = 3.0


def freezeOne(valley, random):
    host = valley.daemons[anyDaemon(valley, random)].host
    host.freeze()
    later(valley, random.uniform(50, 4000), host.thaw)


def freezeEdge(valley, random):
    host = valley.daemons[anyDaemon(valley, random, "edge")].host
    host.freeze()
    later(valley, random.uniform(3000, 7000), host.thaw)


def powerAfterEnd(valley, random):
    def told(note):
        if note["kind"] == "answered" and note["status"] == 200 and "end" in (note["lines"] or [{}])[-1]:
            valley.notes.tap = None
            later(valley, 0, everyVoterDown, valley, random)

    valley.notes.tap = told


def everyVoterDown(valley, random):
    for name, daemon in valley.daemons.items():
        if daemon.settings.role == "storage":
            kill(valley, name, True)
            later(valley, random.uniform(50, 500), revive, valley, name)


def freezeRunner(valley, random):
    address = random.choice(sorted(valley.backs))
    valley.net.hosts[address].freeze()
    valley.backs[address].frozenMs = int(valleys.nowMs(valley))
    later(valley, random.uniform(50, 4000), thawRunner, valley, address)


def thawRunner(valley, address):
    valley.net.hosts[address].thaw()
    later(valley, 60, awake, valley.backs[address])


def awake(runner):
    runner.frozenMs = 0


def cut(valley, left, right, oneWay=False):
    for a in left:
        for b in right:
            x, y = valley.daemons[a].host.address, valley.daemons[b].host.address
            valley.net.cuts |= {(x, y)} if oneWay else {(x, y), (y, x)}


def cutSome(valley, random):
    names = list(valley.daemons)
    random.shuffle(names)
    at = random.randint(1, len(names) - 1)
    cut(valley, names[:at], names[at:], random.random() < 0.3)
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cutPairs(valley, random):
    for _ in range(random.randint(1, 3)):
        a, b = random.sample(sorted(valley.daemons), 2)
        cut(valley, [a], [b], random.random() < 0.5)
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cutZone(valley, random):
    cell = random.choice("abc")
    inside = [n for n, d in valley.daemons.items() if d.settings.cell == cell]
    cut(valley, inside, [n for n in valley.daemons if n not in inside])
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def cutCore(valley, random):
    core = [n for n, d in valley.daemons.items() if d.settings.role == "core"]
    cut(valley, core, [n for n in valley.daemons if n not in core])
    later(valley, random.uniform(100, 4000), valley.net.cuts.clear)


def jumpClock(valley, random):
    daemon = valley.daemons[anyDaemon(valley, random)]
    daemon.wallS += random.choice((-7200, -30, 30, 7200))


def roll(valley, random):
    name = anyDaemon(valley, random)
    if all(valleys.ready(valley, n) for n in valley.daemons):
        warn(valley, name)
        later(valley, 32000, kill, valley, name)
        follow(valley, name)


def follow(valley, name):
    if valley.daemons[name].host.alive:
        later(valley, 200, follow, valley, name)
    else:
        valleys.start(valley, name)


def platformStale(valley, random):
    valley.platform.lagS = random.choice((0.5, 3.0, 6.0))
    later(valley, random.uniform(500, 5000), platformWell, valley)


def platformWell(valley):
    valley.platform.lagS, valley.platform.perSecond = 0.5, 4.0


def platformBusy(valley, random):
    valley.platform.perSecond = valley.platform.tokens = 0.2
    later(valley, random.uniform(500, 4000), platformWell, valley)


def show(valley):
    platforms.show(valley.platform, list(valley.rows))


CORE = {
    "kill": killOne,
    "power": powerOne,
    "allDown": allDown,
    "loseDisk": loseDisk,
    "rotDisk": rotDisk,
    "diskFaults": diskFaults,
    "fullDisk": fullDisk,
    "slowDisk": slowDisk,
    "freeze": freezeOne,
    "cut": cutSome,
    "pairs": cutPairs,
    "zone": cutZone,
    "cutCore": cutCore,
    "jumpClock": jumpClock,
    "freezeEdge": freezeEdge,
    "powerAfterEnd": powerAfterEnd,
}
PLATFORM = {"platformStale": platformStale, "platformBusy": platformBusy, "freezeRunner": freezeRunner}


def heal(valley):
    valley.net.cuts.clear()
    platformWell(valley)
    for name, daemon in valley.daemons.items():
        quickDisk(daemon.drive)
        makeRoom(daemon.drive)
        daemon.drive.broken.clear()
        daemon.host.thaw()
        revive(valley, name)
    for address, runner in valley.backs.items():
        thawRunner(valley, address)
        runner.mode = "well"
