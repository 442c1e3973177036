"""What a daemon tells an operator of itself; a sender that is no daemon is answered and nothing of it is kept."""

from msgspec import json

from frostpost.daemon.context import clock_ms
from frostpost.daemon.links import sender
from frostpost.turn_store.store import used_bytes
from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, StatusReply, StatusRequest
from frostpost.virtual_synchrony.leases import lease_remaining_ms
from frostpost.virtual_synchrony.members import member_names, sequencer_of

from . import agent_sessions
from .agent_context import now_ms
from .lease_client import session

DAEMONS = ("storage", "core", "edge")


def begin(leaf):
    leaf.extras["started_ms"] = now_ms(leaf)


def answered(ctx, endpoint, body, facts, directory):
    """Answer an operator over a connection of its own: status or places; -> whether the frame ends here."""
    if endpoint.role in DAEMONS and not isinstance(body, StatusRequest):
        return False
    address = f"@{endpoint.host}:{endpoint.port}"
    if isinstance(body, StatusRequest):
        sender(ctx)(address, StatusReply(json.encode(facts())))
    elif isinstance(body, DirectoryRequest):
        sender(ctx)(address, directory())
    return True


def leaf_answered(leaf, endpoint, body):
    return answered(
        leaf,
        endpoint,
        body,
        lambda: leaf_facts(leaf),
        lambda: DirectoryReply(tuple(leaf.directory.values()), leaf.charter),
    )


def ring_answered(replica, endpoint, body):
    return answered(
        replica.ctx, endpoint, body, lambda: ring_facts(replica), lambda: DirectoryReply(ring_endpoints(replica.ctx))
    )


def ring_endpoints(ctx):
    if ctx.core is None:
        return (ctx.endpoint,)
    return (ctx.endpoint, *(peer.endpoint for peer in ctx.core.synchrony.peers.values()))


def common(endpoint, uptime_ms, counts):
    return {
        "name": endpoint.member.name,
        "role": endpoint.role,
        "zone": endpoint.zone,
        "boot": endpoint.member.incarnation,
        "uptime_ms": uptime_ms,
        "counts": dict(counts),
    }


def leaf_facts(leaf):
    held, now, runners = session(leaf), now_ms(leaf), leaf.runners
    resting = [i for i, load in leaf.loads.items() if i in runners and load.resting_until_ms > now]
    return common(leaf.endpoint, now - leaf.extras.get("started_ms", now), leaf.counts) | {
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


def ring_facts(replica):
    ctx = replica.ctx
    facts = common(ctx.endpoint, clock_ms(ctx) - ctx.started_ms, ctx.counts) | {
        "charter_waiting": replica.waiting,
        "charter": list(replica.charter),
        "tolerated": replica.settings.tolerated,
        "disk_unwell": bool(ctx.disk.unwell),
        "turn_store": {
            "bodies": len(replica.turn_store.index),
            "missing": replica.turn_store.missing,
            "bytes": used_bytes(replica.turn_store),
            "lost": replica.turn_store.lost,
        },
    }
    return facts if ctx.core is None else facts | core_facts(ctx, replica.sessions)


def core_facts(ctx, sessions):
    synchrony, ledger, now = ctx.core.synchrony, ctx.core.ledger, clock_ms(ctx)
    program_ledger, id = ledger.program_ledger, synchrony.configuration.id
    return {
        "configuration": {"epoch": id.epoch, "proposer": id.proposer, "boot": id.incarnation},
        "members": member_names(synchrony.configuration),
        "sequencer": sequencer_of(synchrony),
        "sequencing": agent_sessions.sequencing(ctx),
        "primary_opened": synchrony.primary.opened,
        "recovering": synchrony.recovery is not None,
        "refilled": synchrony.primary.ready,
        "lease_left_ms": lease_remaining_ms(synchrony, now),
        "voters": list(agent_sessions.voters_of(ctx)),
        "applied": synchrony.applied,
        "log_length": synchrony.log.length,
        "disk_unwell": bool(ctx.disk.unwell or synchrony.unhealthy),
        "ledger": {
            "turns": len(program_ledger.turns),
            "attempts": len(program_ledger.attempts),
            "accounts": len(program_ledger.accounts),
            "keys": len(program_ledger.keys),
        },
        "routing": {"version": program_ledger.routing_version, "honoured": agent_sessions.honoured(ctx, sessions)},
        "retiring": dict(program_ledger.retiring),
        "ring_counts": dict(synchrony.counts),
        "leaves": {
            name: {
                "address": seen.address.removeprefix("@"),
                "version": seen.version,
                "lease_left_ms": seen.until_ms - now if seen.until_ms else None,
            }
            for name, seen in sessions.leaves.items()
        },
    }
