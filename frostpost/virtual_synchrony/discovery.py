"""Discovery of replicas: endpoints are announced to peers and seeds, frequently only after a change.

A replica outside an open primary announces all endpoints in its directory to its peers in every period. In an open
primary a changed directory is announced in the next few periods and refreshed at longer intervals after that.

A seed records the endpoints of the replicas that report to it and replies with its directory. A replica outside an open
primary reports its own endpoint in every period, and a seed always replies to such a report. A member of an open
primary reports without endpoints, to which a seed replies only if its directory has changed. Members report in the same
periods in which they announce to peers; the sequencer reports in every period.
"""

from .members import sequencer_of
from .messages import DiscoveryUpdate
from .state import Peer

ANNOUNCEMENT_REPEATS = 4
REFRESH_PERIODS = 10


def announce_endpoints(synchrony, out):
    """Send the announcements to peers and seeds that are due in this period."""
    synchrony.last_announcement_ms = synchrony.now_ms
    endpoints = (synchrony.endpoint, *(peer.endpoint for peer in synchrony.peers.values()))
    if endpoints != synchrony.announced_endpoints:
        synchrony.announced_endpoints, synchrony.announced_periods = endpoints, 0
    synchrony.announced_periods += 1
    is_announcement_due = not is_active_member(synchrony) or synchrony.announced_periods <= ANNOUNCEMENT_REPEATS
    is_refresh_due = synchrony.announced_periods % REFRESH_PERIODS == 0
    if is_announcement_due or is_refresh_due or sequencer_of(synchrony) == synchrony.name:
        report = DiscoveryUpdate(() if is_active_member(synchrony) else (synchrony.endpoint,), synchrony.draining)
        out.sends += [(seed, report) for seed in seeds_to_notify(synchrony)]
    if is_announcement_due or is_refresh_due:
        announcement = DiscoveryUpdate(endpoints, synchrony.draining)
        out.sends += [(name, announcement) for name in synchrony.peers]


def is_active_member(synchrony):
    """Return whether this replica belongs to an open primary and is neither recovering nor draining."""
    return synchrony.primary.opened and synchrony.recovery is None and not synchrony.draining


def seeds_to_notify(synchrony):
    """Return the seeds that are neither this replica nor one of its peers."""
    endpoints = (synchrony.endpoint, *(peer.endpoint for peer in synchrony.peers.values()))
    known_addresses = {f"@{endpoint.host}:{endpoint.port}" for endpoint in endpoints}
    return [seed for seed in synchrony.seeds if seed not in known_addresses]


def on_discovery_update(synchrony, out, sender_name, message):
    """Add newly announced replicas to the peers and record whether the sender is draining."""
    peer = synchrony.peers[sender_name]
    if peer.draining != message.draining:
        peer.draining, synchrony.peers_changed = message.draining, True
    for endpoint in message.endpoints:
        if endpoint.member.name not in synchrony.peers and endpoint.member.name != synchrony.name:
            synchrony.peers[endpoint.member.name], synchrony.peers_changed = Peer(endpoint), True
