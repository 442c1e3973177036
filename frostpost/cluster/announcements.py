"""The leader tells agents where the replicas are, so that an agent finds them though all its seeds are out of reach."""

from frostpost.daemon.context import clock_ms
from frostpost.virtual_synchrony.agent_messages import DirectoryReply
from frostpost.virtual_synchrony.members import member_names

from . import agent_sessions

# Agents whose lease ended up to this many lease times ago are greeted, once a lease time.
LAPSED_LEASES = 50


def configuration_endpoints(synchrony):
    """Where the members of the configuration are."""
    others = [
        synchrony.peers[name].endpoint for name in member_names(synchrony.configuration) if name in synchrony.peers
    ]
    return (synchrony.endpoint, *others)


def announce(replica, addresses):
    """Tell the agents at some addresses where the replicas are."""
    endpoints = configuration_endpoints(replica.ctx.core.synchrony)
    for address in sorted(addresses):
        replica.send(address, DirectoryReply(endpoints))


def announce_opening(replica):
    """A leader that has just opened greets all agents that it knows, so that they need not look for it."""
    synchrony = replica.ctx.core.synchrony
    if not agent_sessions.is_sequencer(replica.ctx) or replica.announced_configuration == synchrony.configuration.id:
        return
    replica.announced_configuration = synchrony.configuration.id
    stored = {f"@{address}" for address in replica.agent_addresses.addresses}
    announce(replica, stored | {seen.address for seen in replica.sessions.agents.values()})


def announce_to_lapsed(replica):
    """The leader greets agents whose lease ended of late: one that started anew may know no replica."""
    if not agent_sessions.is_sequencer(replica.ctx):
        return
    now = clock_ms(replica.ctx)
    since_ms = now - LAPSED_LEASES * replica.settings.lease_ms
    announce(replica, {s.address for s in replica.sessions.agents.values() if since_ms < s.until_ms <= now})
