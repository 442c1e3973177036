"""Heartbeats, and the choice of the desired members from the reachability that this daemon and its peers report."""

from .durable_log import NO_CONFIGURATION
from .members import ROLE_ORDER, role_of
from .messages import Heartbeat, InstallRequest


def is_available(synchrony, peer):
    """Return whether a peer may be a member: recently heard from, healthy, not draining and not excluded."""
    return (
        synchrony.now_ms - peer.heard_ms < synchrony.bounds.detect_ms
        and not peer.unhealthy
        and not peer.draining
        and synchrony.now_ms >= peer.excluded_until_ms
    )


def observed_state(synchrony, peer):
    """Return the peer state that affects decisions made on a tick, as far as heartbeats determine it."""
    reported = peer.reachable, peer.configuration, peer.promised, peer.ready, peer.serving, peer.last_primary
    return is_available(synchrony, peer), *reported


def reachability_graph(synchrony):
    """Return the sets of reachable members by member, as reported to this daemon."""
    reachable = {peer.endpoint.member for peer in synchrony.peers.values() if is_available(synchrony, peer)}
    graph = {synchrony.local_member: reachable}
    for peer in synchrony.peers.values():
        if is_available(synchrony, peer) and synchrony.local_member in peer.reachable:
            graph[peer.endpoint.member] = peer.reachable
    return graph


def is_serving(synchrony):
    """Return whether this daemon belongs to an open primary with neither a proposal nor a recovery in progress."""
    return synchrony.primary.opened and synchrony.recovery is None and synchrony.proposal is None


def member_preference(synchrony, member):
    """Return the sort key by which members are considered for the desired configuration.

    Members of an open primary come first, the newest primary before older ones, then members that belonged to a primary
    before, then new members. This keeps a newcomer that cannot reach every member of a serving primary from breaking it
    up merely because its name sorts first.
    """
    if member == synchrony.local_member:
        in_primary, epoch, last_primary = (
            is_serving(synchrony),
            synchrony.configuration.id.epoch,
            synchrony.log.primary,
        )
    else:
        peer = synchrony.peers[member.name]
        in_primary, epoch, last_primary = peer.serving, peer.configuration.epoch, peer.last_primary
    return -epoch if in_primary else 0, last_primary == NO_CONFIGURATION


def member_sort_key(synchrony, member):
    """Return the sort key of members within a configuration: replicas first, then by name."""
    return ROLE_ORDER[role_of(synchrony, member.name)], member.name, member.incarnation


def desired_members(synchrony):
    """Return the members of the configuration to be installed, as this daemon sees it.

    This is the first clique in the order of preference that contains this daemon.
    """
    if synchrony.unhealthy or synchrony.draining:
        return (synchrony.local_member,)
    graph = reachability_graph(synchrony)
    candidates = sorted(graph, key=lambda member: member_sort_key(synchrony, member))
    candidates.sort(
        key=lambda member: (ROLE_ORDER[role_of(synchrony, member.name)], *member_preference(synchrony, member))
    )
    while True:
        clique: list = []
        for member in candidates:
            if all(member in graph[other] and other in graph[member] for other in clique):
                clique.append(member)
        if synchrony.local_member in clique:
            return tuple(sorted(clique, key=lambda member: member_sort_key(synchrony, member)))
        candidates = [candidate for candidate in candidates if candidate not in clique]


def send_heartbeats(synchrony, out):
    """Send a heartbeat to each peer, echoing the peer's clock."""
    synchrony.heartbeat_ms = synchrony.now_ms
    reachable = tuple(
        available_peer.endpoint.member
        for available_peer in synchrony.peers.values()
        if is_available(synchrony, available_peer)
    )
    for name, peer in synchrony.peers.items():
        out.sends.append(
            (
                name,
                Heartbeat(
                    synchrony.configuration.id,
                    synchrony.promised,
                    reachable,
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
    """Record a peer's state; extend the lease that it grants if both are in the same configuration."""
    peer = synchrony.peers[sender_name]
    previous_state = observed_state(synchrony, peer)
    peer.heard_ms, peer.sent_ms = synchrony.now_ms, message.sent_ms
    peer.reachable = frozenset(message.reachable)
    peer.configuration, peer.promised = message.configuration, message.promised
    peer.unhealthy, peer.ready, peer.applied = message.unhealthy, message.ready, message.applied
    peer.status, peer.serving, peer.last_primary = message.status, message.serving, message.last_primary
    if previous_state != observed_state(synchrony, peer):
        synchrony.peers_changed = True
    in_same_configuration = message.configuration == synchrony.configuration.id == message.promised
    if in_same_configuration and message.echo_ms > peer.granted_ms:
        peer.granted_ms = message.echo_ms
    current_id = synchrony.configuration.id
    is_proposer = current_id.proposer == synchrony.name and current_id.incarnation == synchrony.local_member.incarnation
    if is_proposer and message.promised == current_id and message.configuration != current_id:
        out.sends.append((sender_name, InstallRequest(current_id)))
