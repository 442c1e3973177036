"""Who is where: replicas tell it each other and the seeds, often only while it is news.

A replica outside an opened primary tells all that it knows to its peers in every period. In an opened primary a list
that has changed is told a few times, and then repeated now and then.

A seed keeps the places of those that report to it, and answers with its directory. A replica outside an opened primary
reports in every period and names itself, to which a seed always answers. A member of one reports without any place, to
which a seed answers only with news: in as many periods after a change as it tells its peers, then now and then, the
sequencer always.
"""

from .members import sequencer_of
from .messages import DiscoveryUpdate
from .state import Peer

ANNOUNCEMENT_REPEATS = 4
REFRESH_PERIODS = 10


def announce_endpoints(synchrony, out):
    """Tell peers and seeds of places, as far as it is due in this period."""
    synchrony.last_announcement_ms = synchrony.now_ms
    endpoints = (synchrony.endpoint, *(peer.endpoint for peer in synchrony.peers.values()))
    if endpoints != synchrony.announced_endpoints:
        synchrony.announced_endpoints, synchrony.announced_periods = endpoints, 0
    synchrony.announced_periods += 1
    fresh = not is_active_member(synchrony) or synchrony.announced_periods <= ANNOUNCEMENT_REPEATS
    again = synchrony.announced_periods % REFRESH_PERIODS == 0
    if fresh or again or sequencer_of(synchrony) == synchrony.name:
        report = DiscoveryUpdate(() if is_active_member(synchrony) else (synchrony.endpoint,), synchrony.draining)
        out.sends += [(seed, report) for seed in seeds_to_notify(synchrony)]
    if fresh or again:
        whole = DiscoveryUpdate(endpoints, synchrony.draining)
        out.sends += [(name, whole) for name in synchrony.peers]


def is_active_member(synchrony):
    """Whether this replica stands in an opened primary that it doesn't leave."""
    return synchrony.primary.opened and synchrony.recovery is None and not synchrony.draining


def seeds_to_notify(synchrony):
    """The seeds that are neither this replica nor one of its peers."""
    endpoints = (synchrony.endpoint, *(peer.endpoint for peer in synchrony.peers.values()))
    known = {f"@{endpoint.host}:{endpoint.port}" for endpoint in endpoints}
    return [seed for seed in synchrony.seeds if seed not in known]


def on_discovery_update(synchrony, out, sender_name, message):
    """Take in what another replica knows of places, and whether it leaves."""
    peer = synchrony.peers[sender_name]
    if peer.draining != message.draining:
        peer.draining, synchrony.peers_changed = message.draining, True
    for endpoint in message.endpoints:
        if endpoint.member.name not in synchrony.peers and endpoint.member.name != synchrony.name:
            synchrony.peers[endpoint.member.name], synchrony.peers_changed = Peer(endpoint), True
