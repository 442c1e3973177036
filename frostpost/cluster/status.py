"""What a daemon tells an operator of itself; frames of those that are no daemons are answered, and nothing of them kept."""

from msgspec import json

from frostpost.virtual_synchrony.outer import Directory, Hello, StatusAsk, StatusTell
from frostpost.virtual_synchrony.state import names, sequencer
from frostpost.virtual_synchrony.watch import leaseLeftMs
from frostpost.daemon.context import nowMs
from frostpost.daemon.links import sender
from frostpost.turn_store.store import used_bytes

from . import serving
from .context import now_ms
from .lease import session

DAEMONS = ("storage", "core", "edge")


def begin(leaf):
    leaf.extras["started_ms"] = now_ms(leaf)


def answered(ctx, place, body, facts, directory):
    """Answer a StatusAsk, or an operator's Hello, over a connection of its own; -> whether the frame ends here."""
    if place.role in DAEMONS and not isinstance(body, StatusAsk):
        return False
    address = f"@{place.host}:{place.port}"
    if isinstance(body, StatusAsk):
        sender(ctx)(address, StatusTell(json.encode(facts())))
    elif isinstance(body, Hello):
        sender(ctx)(address, directory())
    return True


def leaf_answered(leaf, place, body):
    return answered(
        leaf, place, body, lambda: leaf_facts(leaf), lambda: Directory(tuple(leaf.directory.values()), leaf.charter)
    )


def ring_answered(house, place, body):
    return answered(house.ctx, place, body, lambda: ring_facts(house), lambda: Directory(ring_places(house.ctx)))


def ring_places(ctx):
    if ctx.core is None:
        return (ctx.place,)
    return (ctx.place, *(peer.place for peer in ctx.core.hedge.peers.values()))


def common(place, uptime_ms, counts):
    return {
        "name": place.member.name,
        "role": place.role,
        "zone": place.cell,
        "boot": place.member.boot,
        "uptime_ms": uptime_ms,
        "counts": dict(counts),
    }


def leaf_facts(leaf):
    held, now, runners = session(leaf), now_ms(leaf), leaf.runners
    resting = [i for i, load in leaf.loads.items() if i in runners and load.resting_until_ms > now]
    return common(leaf.place, now - leaf.extras.get("started_ms", now), leaf.counts) | {
        "sequencer": held.sequencer,
        "lease_left_ms": max(0, held.until_ms - now),
        "epoch": held.epoch,
        "routing": {"held": held.held, "known": held.version, "honoured": held.honoured},
        "voters": list(held.voters),
        "ring": sorted(leaf.directory),
        "charter": list(leaf.charter),
        "open_asks": 0 if leaf.asking is None else len(leaf.asking.open),
        "flights": leaf.flights,
        "calls": leaf.calls,
        "leaving": leaf.leaving,
        "runners": {
            "known": len(runners),
            "draining": sum(r.draining for r in runners.values()),
            "resting": len(resting),
        },
        "list": {
            "wanted": leaf.settings.front is not None,
            "address": f"{leaf.settings.list_host}:{leaf.settings.list_port}" if leaf.settings.list_host else "",
            "fetched": bool(leaf.extras.get("list_seen")),
        },
    }


def ring_facts(house):
    ctx = house.ctx
    facts = common(ctx.place, nowMs(ctx) - ctx.startedMs, ctx.counts) | {
        "charter_waiting": house.waiting,
        "charter": list(house.charter),
        "tolerated": house.settings.tolerated,
        "disk_unwell": bool(ctx.disk.unwell),
        "turn_store": {
            "bodies": len(house.silo.index),
            "missing": house.silo.missing,
            "bytes": used_bytes(house.silo),
            "lost": house.silo.lost,
        },
    }
    return facts if ctx.core is None else facts | core_facts(ctx, house.sessions)


def core_facts(ctx, sessions):
    hedge, granary, now = ctx.core.hedge, ctx.core.granary, nowMs(ctx)
    coppice, id = granary.coppice, hedge.configuration.id
    return {
        "configuration": {"epoch": id.epoch, "proposer": id.proposer, "boot": id.boot},
        "members": names(hedge.configuration),
        "sequencer": sequencer(hedge),
        "sequencing": serving.sequencing(ctx),
        "primary_opened": hedge.primary.opened,
        "recovering": hedge.recovery is not None,
        "refilled": hedge.primary.ready,
        "lease_left_ms": leaseLeftMs(hedge, now),
        "voters": list(serving.voters_of(ctx)),
        "applied": hedge.applied,
        "log_length": hedge.log.length,
        "disk_unwell": bool(ctx.disk.unwell or hedge.unwell),
        "ledger": {
            "turns": len(coppice.turns),
            "attempts": len(coppice.attempts),
            "accounts": len(coppice.accounts),
            "keys": len(coppice.keys),
        },
        "routing": {"version": coppice.routing_version, "honoured": serving.honoured(ctx, sessions)},
        "retiring": dict(coppice.retiring),
        "ring_counts": dict(hedge.counts),
        "leaves": {
            name: {
                "address": seen.address.removeprefix("@"),
                "version": seen.version,
                "lease_left_ms": seen.until_ms - now if seen.until_ms else None,
            }
            for name, seen in sessions.leaves.items()
        },
    }
