"""Status replies to operators; a sender that is no daemon is answered and not recorded."""

from msgspec import json

from frostpost.daemon.context import clock_ms
from frostpost.daemon.frames import Links, make_links
from frostpost.turn_store.store import used_bytes
from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, StatusReply, StatusRequest
from frostpost.virtual_synchrony.leases import lease_remaining_ms
from frostpost.virtual_synchrony.members import member_names, sequencer_of

from . import agent_sessions
from .agent_context import now_ms
from .lease_client import session_of
from .list_reading import NEVER_MS

DAEMON_ROLES = ("storage", "core", "edge")
RECENT_DROPS_S = 10


def begin_status(agent):
    """Record the start time, from which uptime counts."""
    agent.attachments["started_ms"] = now_ms(agent)


def answer_operator(ctx, endpoint, body, facts, directory):
    """Answer a status or directory request over a new connection. Returns whether the frame is handled."""
    if endpoint.role in DAEMON_ROLES and not isinstance(body, StatusRequest):
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
        replica.ctx,
        endpoint,
        body,
        lambda: replica_facts(replica),
        lambda: DirectoryReply(replica_endpoints(replica.ctx)),
    )


def replica_endpoints(ctx):
    """Endpoints of this replica and its known peers."""
    if ctx.core is None:
        return (ctx.endpoint,)
    return (ctx.endpoint, *(peer.endpoint for peer in ctx.core.synchrony.peers.values()))


def common_facts(endpoint, uptime_ms, counts, links):
    """Facts common to all daemons; times in milliseconds. dropped_frames: by "host:port", of full links only."""
    return {
        "dropped_frames": links.recent_drops(RECENT_DROPS_S) if isinstance(links, Links) else {},
        "name": endpoint.member.name,
        "role": endpoint.role,
        "zone": endpoint.zone,
        "boot": endpoint.member.incarnation,
        "uptime_ms": uptime_ms,
        "counts": dict(counts),
    }


def agent_facts(agent):
    """Facts of an agent, as JSON values."""
    session, now, runners = session_of(agent), now_ms(agent), agent.runners
    resting_runners = [
        runner_id for runner_id, load in agent.loads.items() if runner_id in runners and load.ejected_until_ms > now
    ]
    return common_facts(
        agent.endpoint, now - agent.attachments.get("started_ms", now), agent.counts, agent.links.get("send")
    ) | {
        "sequencer": session.sequencer,
        "lease_left_ms": max(0, session.until_ms - now),
        "epoch": session.epoch,
        "routing": {
            "held": session.routing_version,
            "known": session.latest_routing_version,
            "honoured": session.honoured_version,
        },
        "voters": list(session.voters),
        "ring": sorted(agent.directory),
        "charter": list(agent.bootstrap_voters),
        "open_asks": 0 if agent.operations is None else len(agent.operations.pending),
        "flights": agent.requests_in_flight,
        "calls": agent.open_requests,
        "leaving": agent.draining,
        "runners": {
            "known": len(runners),
            "draining": sum(r.draining for r in runners.values()),
            "resting": len(resting_runners),
        },
        "list": {
            "wanted": agent.settings.front is not None,
            "address": f"{agent.settings.list_host}:{agent.settings.list_port}" if agent.settings.list_host else "",
            "fetched": agent.runner_list.last.read_ms != NEVER_MS,
        },
    }


def replica_facts(replica):
    """Facts of a replica, as JSON values; fewer before its core has started."""
    ctx = replica.ctx
    facts = common_facts(ctx.endpoint, clock_ms(ctx) - ctx.started_ms, ctx.counts, ctx.links["send"]) | {
        "charter_waiting": replica.awaiting_bootstrap,
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
    """Facts of the protocol, the ledger and the agent sessions."""
    synchrony, ledger, now = ctx.core.synchrony, ctx.core.ledger, clock_ms(ctx)
    program_ledger, configuration_id = ledger.program_ledger, synchrony.configuration.id
    return {
        "configuration": {
            "epoch": configuration_id.epoch,
            "proposer": configuration_id.proposer,
            "boot": configuration_id.incarnation,
        },
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
                "address": agent_session.address.removeprefix("@"),
                "version": agent_session.routing_version,
                "lease_left_ms": agent_session.until_ms - now if agent_session.until_ms else None,
            }
            for name, agent_session in sessions.agents.items()
        },
    }
