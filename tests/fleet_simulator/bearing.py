"""Which machines count as lost, how many more may be lost at once, and which of them a trouble falls on."""

from frostpost.cluster import agent_sessions

CATCH_UP_MS = 3000
EVERYWHERE = ("storage power", "halves", "freeze many", "all down")


def lost(world):
    """Names of the machines with a disk that count as lost now."""
    now_ms = world.now_ms()
    names = {n for t in world.notes.troubles if t.until_ms + CATCH_UP_MS > now_ms for n in t.names}
    return {n for n in names if n in world.daemons and world.daemons[n].role != "edge" and not world.daemons[n].gone}


def bears(world, names):
    """Whether the deployment's tolerance covers the loss of all these machines at once."""
    shape, daemons = world.shape, [world.daemons[n] for n in names]
    if len(daemons) <= shape.tolerated:
        return True
    zones = {d.zone for d in daemons}
    return len(zones) <= shape.tolerated_zones or len({world.regions[z] for z in zones}) <= shape.tolerated_regions


def may_fall(world, daemon):
    """Whether a trouble may fall on this machine now."""
    return daemon.role == "edge" or bears(world, lost(world) | {daemon.name})


def leader(world, role):
    """The storage daemon that sequences, or the control daemon that acknowledged last."""
    if role == "core":
        return next((d for d in world.of("core") if d.host.address == world.notes.acknowledged_by), None)
    live = [d for d in world.of("storage") if d.owner is not None and d.owner.ctx.core is not None]
    return next((d for d in live if d.host.alive and agent_sessions.is_sequencer(d.owner.ctx)), None)


def reader(world):
    """The daemon that read the platform's list last."""
    return next((d for d in world.daemons.values() if d.host.address == world.listing.reader), None)


def seeds(world):
    """The daemons that the settings name."""
    return [d for d in world.of("core") if any(s.startswith(f"{d.host.address}:") for s in world.seeds)]


def chosen(world, random, roles, how):
    """The daemons among which one is drawn, the first where `how` names one."""
    if how == "leader":
        found = leader(world, random.choice([r for r in roles if r != "edge"] or ["storage"]))
        return [found] if found is not None and found.role in roles else []
    if how == "reader":
        found = reader(world)
        return [found] if found is not None and found.role in roles else []
    return [d for d in seeds(world) if d.role in roles] if how == "seed" else world.of(*roles)


def victim(world, random, *roles, how=""):
    """A running daemon for a trouble to fall on, or None where that is more than is to be borne."""
    found = [d for d in chosen(world, random, roles, how) if d.host.alive and d.owner is not None and not d.gone]
    found = [d for d in found if may_fall(world, d)]
    return random.choice(found) if found else None


def lasting_ms(random):
    """How long a trouble lasts: most are short, one in five outlasts every lease and detection by far."""
    longest_ms = random.choice((1500, 4000, 8000, 8000, 26000))
    return random.uniform(100 if longest_ms < 20000 else 20000, longest_ms)
