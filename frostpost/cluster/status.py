"""What a daemon tells an operator of itself; a sender that is no daemon is answered and nothing of it is kept."""

from msgspec import json

from frostpost.daemon.context import clock_ms
from frostpost.daemon.frames import make_links
from frostpost.turn_store.store import used_bytes
from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, StatusReply, StatusRequest
from frostpost.virtual_synchrony.leases import lease_remaining_ms
from frostpost.virtual_synchrony.members import member_names, sequencer_of

from . import agent_sessions
from .agent_context import now_ms
from .lease_client import session_of
from .list_reading import NEVER_MS

DAEMONS = ("storage", "core", "edge")


def begin_status(agent):
    """Note the start, from which uptime counts."""
    agent.extras["started_ms"] = now_ms(agent)


def answer_operator(ctx, endpoint, body, facts, directory):
    """Answer an operator over a connection of its own: status or places; -> whether the frame ends here."""
    if endpoint.role in DAEMONS and not isinstance(body, StatusRequest):
        return False
    address = f"@{endpoint.host}:{endpoint.port}"
    if isinstance(body, StatusRequest):
        make_links(ctx)(address, StatusReply(json.encode(facts())))
    elif isinstance(body, DirectoryRequest):
        make_links(ctx)(address, directory())
    return True


def answer_agent_status(agent, endpoint, body):
    """As `answer_operator`, for an agent."""
    return answer_operator(
        agent,
        endpoint,
        body,
        lambda: agent_facts(agent),
        lambda: DirectoryReply(tuple(agent.directory.values()), agent.bootstrap_voters),
    )


def answer_replica_status(replica, endpoint, body):
    """As `answer_operator`, for a replica."""
    return answer_operator(
        replica.ctx, endpoint, body, lambda: replica_facts(replica), lambda: DirectoryReply(ring_endpoints(replica.ctx))
    )


def ring_endpoints(ctx):
    """Endpoints of this replica and of those that it knows."""
    if ctx.core is None:
        return (ctx.endpoint,)
    return (ctx.endpoint, *(peer.endpoint for peer in ctx.core.synchrony.peers.values()))


def common_facts(endpoint, uptime_ms, counts):
    """Facts that every daemon tells; times in milliseconds."""
    return {
        "name": endpoint.member.name,
        "role": endpoint.role,
        "zone": endpoint.zone,
        "boot": endpoint.member.incarnation,
        "uptime_ms": uptime_ms,
        "counts": dict(counts),
    }


def agent_facts(agent):
    """An agent's facts, as JSON values."""
    held, now, runners = session_of(agent), now_ms(agent), agent.runners
    resting = [i for i, load in agent.loads.items() if i in runners and load.resting_until_ms > now]
    return common_facts(agent.endpoint, now - agent.extras.get("started_ms", now), agent.counts) | {
        "sequencer": held.sequencer,
        "lease_left_ms": max(0, held.until_ms - now),
        "epoch": held.epoch,
        "routing": {
            "held": held.routing_version,
            "known": held.latest_routing_version,
            "honoured": held.honoured_version,
        },
        "voters": list(held.voters),
        "ring": sorted(agent.directory),
        "charter": list(agent.bootstrap_voters),
        "open_asks": 0 if agent.operations is None else len(agent.operations.open),
        "flights": agent.flights,
        "calls": agent.calls,
        "leaving": agent.leaving,
        "runners": {
            "known": len(runners),
            "draining": sum(r.draining for r in runners.values()),
            "resting": len(resting),
        },
        "list": {
            "wanted": agent.settings.front is not None,
            "address": f"{agent.settings.list_host}:{agent.settings.list_port}" if agent.settings.list_host else "",
            "fetched": agent.runner_list.last.read_ms != NEVER_MS,
        },
    }


def replica_facts(replica):
    """A replica's facts, as JSON values; fewer before it has begun."""
    ctx = replica.ctx
    facts = common_facts(ctx.endpoint, clock_ms(ctx) - ctx.started_ms, ctx.counts) | {
        "charter_waiting": replica.waiting,
        "charter": list(replica.bootstrap_voters),
        "tolerated": replica.settings.tolerated,
        "disk_unwell": bool(ctx.disk.unhealthy),
        "turn_store": {
            "bodies": len(replica.turn_store.index),
            "missing": replica.turn_store.missing_count,
            "bytes": used_bytes(replica.turn_store),
            "lost": replica.turn_store.is_stopped,
        },
    }
    return facts if ctx.core is None else facts | core_facts(ctx, replica.sessions)


def core_facts(ctx, sessions):
    """Facts of the protocol, the ledger and the agents' sessions."""
    synchrony, ledger, now = ctx.core.synchrony, ctx.core.ledger, clock_ms(ctx)
    program_ledger, id = ledger.program_ledger, synchrony.configuration.id
    return {
        "configuration": {"epoch": id.epoch, "proposer": id.proposer, "boot": id.incarnation},
        "members": member_names(synchrony.configuration),
        "sequencer": sequencer_of(synchrony),
        "sequencing": agent_sessions.is_sequencer(ctx),
        "primary_opened": synchrony.primary.opened,
        "recovering": synchrony.recovery is not None,
        "refilled": synchrony.primary.ready,
        "lease_left_ms": lease_remaining_ms(synchrony, now),
        "voters": list(agent_sessions.voters_of(ctx)),
        "applied": synchrony.applied,
        "log_length": synchrony.log.length,
        "disk_unwell": bool(ctx.disk.unhealthy or synchrony.unhealthy),
        "ledger": {
            "turns": len(program_ledger.turns),
            "attempts": len(program_ledger.attempts),
            "accounts": len(program_ledger.accounts),
            "keys": len(program_ledger.keys),
        },
        "routing": {
            "version": program_ledger.routing_version,
            "honoured": agent_sessions.honoured_version(ctx, sessions),
        },
        "retiring": dict(program_ledger.retiring),
        "ring_counts": dict(synchrony.counts),
        "leaves": {
            name: {
                "address": seen.address.removeprefix("@"),
                "version": seen.version,
                "lease_left_ms": seen.until_ms - now if seen.until_ms else None,
            }
            for name, seen in sessions.agents.items()
        },
    }
