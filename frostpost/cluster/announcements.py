"""Announcements of replica endpoints to agents, so that an agent finds the replicas even if all its seeds are down."""

from frostpost.daemon.context import clock_ms
from frostpost.virtual_synchrony.agent_messages import DirectoryReply
from frostpost.virtual_synchrony.members import member_names

from . import agent_sessions

# Announcements repeat each lease time until a lease has been over for this many lease times.
LAPSED_LEASES = 50


def configuration_endpoints(synchrony):
    """Known endpoints of the members of the configuration."""
    peer_endpoints = [
        synchrony.peers[name].endpoint for name in member_names(synchrony.configuration) if name in synchrony.peers
    ]
    return (synchrony.endpoint, *peer_endpoints)


def announce(replica, addresses):
    """Send the replica endpoints to the agents at some addresses."""
    endpoints = configuration_endpoints(replica.ctx.core.synchrony)
    for address in sorted(addresses):
        replica.send(address, DirectoryReply(endpoints))


def announce_opening(replica):
    """Announce this replica to all known agents, once per configuration in which it leads an open primary."""
    synchrony = replica.ctx.core.synchrony
    if not agent_sessions.is_sequencer(replica.ctx) or replica.announced_configuration == synchrony.configuration.id:
        return
    replica.announced_configuration = synchrony.configuration.id
    stored = {f"@{address}" for address in replica.agent_addresses.addresses}
    announce(replica, stored | {session.address for session in replica.sessions.agents.values()})


def announce_to_lapsed(replica):
    """Announce to agents whose lease ended recently: a restarted agent may have no replica address."""
    if not agent_sessions.is_sequencer(replica.ctx):
        return
    now = clock_ms(replica.ctx)
    since_ms = now - LAPSED_LEASES * replica.settings.lease_ms
    announce(
        replica, {session.address for session in replica.sessions.agents.values() if since_ms < session.until_ms <= now}
    )
