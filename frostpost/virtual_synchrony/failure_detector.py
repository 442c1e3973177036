"""Heartbeats, and the members that this daemon wants for a configuration by what it and its peers hear."""

from .durable_log import NO_CONFIGURATION
from .members import ROLE_ORDER, role_of
from .messages import Heartbeat, InstallRequest


def is_available(synchrony, peer):
    """Whether a peer may be a member: heard of late, healthy, not draining, not excluded."""
    return (
        synchrony.now_ms - peer.heard_ms < synchrony.bounds.detect_ms
        and not peer.unhealthy
        and not peer.draining
        and synchrony.now_ms >= peer.excluded_until_ms
    )


def observed_state(synchrony, peer):
    """What a tick judges of a peer, as far as heartbeats tell it."""
    told = peer.reachable, peer.configuration, peer.promised, peer.ready, peer.serving, peer.last_primary
    return is_available(synchrony, peer), *told


def reachability_graph(synchrony):
    """Who hears whom, as far as this daemon knows: sets of members by member."""
    mine = {p.endpoint.member for p in synchrony.peers.values() if is_available(synchrony, p)}
    graph = {synchrony.local_member: mine}
    for peer in synchrony.peers.values():
        if is_available(synchrony, peer) and synchrony.local_member in peer.reachable:
            graph[peer.endpoint.member] = peer.reachable
    return graph


def is_serving(synchrony):
    """Whether this daemon stands in an opened primary that no proposal has reached."""
    return synchrony.primary.opened and synchrony.recovery is None and synchrony.proposal is None


def member_preference(synchrony, member):
    """Sort key of the order in which members are taken into the wanted configuration.

    Members of an opened primary come first, of the newest where there are several, then those that were in a primary
    before, then newcomers: who can't hear all of a primary that serves doesn't break it up by the order of names.
    """
    if member == synchrony.local_member:
        opened, epoch, last = is_serving(synchrony), synchrony.configuration.id.epoch, synchrony.log.primary
    else:
        peer = synchrony.peers[member.name]
        opened, epoch, last = peer.serving, peer.configuration.epoch, peer.last_primary
    return -epoch if opened else 0, last == NO_CONFIGURATION


def member_sort_key(synchrony, member):
    """Sort key of the members of a configuration: replicas first, then by name."""
    return ROLE_ORDER[role_of(synchrony, member.name)], member.name, member.incarnation


def desired_members(synchrony):
    """The configuration that this daemon wants: the first clique, in order of preference, that it is a member of."""
    if synchrony.unhealthy or synchrony.draining:
        return (synchrony.local_member,)
    graph = reachability_graph(synchrony)
    rest = sorted(graph, key=lambda member: member_sort_key(synchrony, member))
    rest.sort(key=lambda member: (ROLE_ORDER[role_of(synchrony, member.name)], *member_preference(synchrony, member)))
    while True:
        group: list = []
        for member in rest:
            if all(member in graph[g] and g in graph[member] for g in group):
                group.append(member)
        if synchrony.local_member in group:
            return tuple(sorted(group, key=lambda member: member_sort_key(synchrony, member)))
        rest = [m for m in rest if m not in group]


def send_heartbeats(synchrony, out):
    """Send each peer what this member knows, and echo the peer's clock."""
    synchrony.heartbeat_ms = synchrony.now_ms
    hears = tuple(p.endpoint.member for p in synchrony.peers.values() if is_available(synchrony, p))
    for name, peer in synchrony.peers.items():
        out.sends.append(
            (
                name,
                Heartbeat(
                    synchrony.configuration.id,
                    synchrony.promised,
                    hears,
                    synchrony.now_ms,
                    peer.sent_ms,
                    synchrony.unhealthy or synchrony.draining,
                    synchrony.primary.ready,
                    synchrony.applied,
                    dict(synchrony.status),
                    is_serving(synchrony),
                    synchrony.log.primary,
                ),
            )
        )


def on_heartbeat(synchrony, out, sender_name, message):
    """Take a peer's view in; extend the lease that it grants if both stand in the same configuration."""
    peer = synchrony.peers[sender_name]
    before = observed_state(synchrony, peer)
    peer.heard_ms, peer.sent_ms = synchrony.now_ms, message.sent_ms
    peer.reachable = frozenset(message.reachable)
    peer.configuration, peer.promised = message.configuration, message.promised
    peer.unhealthy, peer.ready, peer.applied = message.unhealthy, message.ready, message.applied
    peer.status, peer.serving, peer.last_primary = message.status, message.serving, message.last_primary
    if before != observed_state(synchrony, peer):
        synchrony.peers_changed = True
    agreed = message.configuration == synchrony.configuration.id == message.promised
    if agreed and message.echo_ms > peer.granted_ms:
        peer.granted_ms = message.echo_ms
    mine = synchrony.configuration.id
    proposed_here = mine.proposer == synchrony.name and mine.incarnation == synchrony.local_member.incarnation
    if proposed_here and message.promised == mine and message.configuration != mine:
        out.sends.append((sender_name, InstallRequest(mine)))
