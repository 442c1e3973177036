"""Who is where: replicas tell it each other and the seeds, often only while it is news.

A replica outside an opened primary tells all that it knows, in every period and to everybody. In an opened primary a
list that has changed is told a few times; then each member repeats it now and then, and only the sequencer goes on
reporting to the seeds in every period. Its report has no places, and so has every member's repeated one to the seeds:
a seed takes the sender's place from the frame, and answers a report without places only if it has news.
"""

from .state import Peer, sequencer
from .words import Roster

REPEATS = 4
REMIND_PERIODS = 10


def tell(synchrony, out):
    """Tell what this replica knows of all places, as far as it is due in this period."""
    synchrony.roster_ms = synchrony.now_ms
    places = (synchrony.place, *(peer.place for peer in synchrony.peers.values()))
    if places != synchrony.roster_places:
        synchrony.roster_places, synchrony.roster_periods = places, 0
    synchrony.roster_periods += 1
    fresh = not settled(synchrony) or synchrony.roster_periods <= REPEATS
    again = synchrony.roster_periods % REMIND_PERIODS == 0
    whole = Roster(places, synchrony.leaving)
    if fresh or again or sequencer(synchrony) == synchrony.name:
        report = whole if fresh else Roster((), synchrony.leaving)
        out.sends += [(seed, report) for seed in distant_seeds(synchrony)]
    if fresh or again:
        out.sends += [(name, whole) for name in synchrony.peers]


def settled(synchrony):
    """Whether this replica stands in an opened primary that it doesn't leave."""
    return synchrony.primary.opened and synchrony.recovery is None and not synchrony.leaving


def distant_seeds(synchrony):
    """The seeds that are neither this replica nor one of its peers."""
    places = (synchrony.place, *(peer.place for peer in synchrony.peers.values()))
    known = {f"@{place.host}:{place.port}" for place in places}
    return [seed for seed in synchrony.seeds if seed not in known]


def told(synchrony, frm, message):
    """Take in what another replica knows of places, and whether it leaves."""
    peer = synchrony.peers[frm]
    if peer.leaving != message.leaving:
        peer.leaving, synchrony.changed = message.leaving, True
    for place in message.places:
        if place.member.name not in synchrony.peers and place.member.name != synchrony.name:
            synchrony.peers[place.member.name], synchrony.changed = Peer(place), True
