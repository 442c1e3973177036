"""When a replica's next Tick has something to do; a Tick before that time changes nothing and may be left out."""

from .acknowledgements import has_unsent_receipt
from .catch_up import first_missing_index


def needs_every_tick(synchrony):
    """Whether something is under way that every tick looks after.

    Besides what is open (a proposal, a recovery, a primary that isn't open, a log that is being fetched, operations
    that aren't ordered or acknowledged yet), this holds from any change in what is known of the peers until the
    next tick has judged it, and while the members wished for at the last tick weren't those of the configuration.
    """
    order, primary = synchrony.order, synchrony.primary
    return bool(
        synchrony.peers_changed
        or synchrony.draining
        or synchrony.unhealthy
        or synchrony.proposal is not None
        or synchrony.recovery is not None
        or not primary.opened
        or synchrony.outbox
        or order.unsent_entries
        or order.sent_watermark > order.safe_watermark
        or has_unsent_receipt(synchrony)
        or synchrony.membership_differs
        or synchrony.now_ms - synchrony.heartbeat_ms >= synchrony.bounds.heartbeat_ms
        or first_missing_index(synchrony)
    )


def due_ms(synchrony):
    """The time of the next tick that does something, as far as is known now."""
    if needs_every_tick(synchrony):
        return synchrony.now_ms
    bounds = synchrony.bounds
    times = [synchrony.heartbeat_ms + bounds.heartbeat_ms, synchrony.last_announcement_ms + bounds.detect_ms]
    for peer in synchrony.peers.values():
        times += [peer.heard_ms + bounds.detect_ms, peer.excluded_until_ms]
    return min(at_ms for at_ms in times if at_ms > synchrony.last_tick_ms)
