"""Scheduling of a replica's ticks: ticks before `due_ms` have no effect and may be omitted."""

from .acknowledgements import has_unsent_receipt
from .catch_up import first_missing_index


def needs_every_tick(synchrony):
    """Return whether something in progress must be checked on every tick.

    This covers open work (a proposal, a recovery, a primary that is not open, a log being fetched, operations not yet
    ordered or acknowledged), any change of the peers until the next tick has evaluated it, and the time during which
    the desired members differ from those of the configuration.
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
    """Return the time of the next tick that has an effect, as far as it is known now."""
    if needs_every_tick(synchrony):
        return synchrony.now_ms
    bounds = synchrony.bounds
    due_times_ms = [synchrony.heartbeat_ms + bounds.heartbeat_ms, synchrony.last_announcement_ms + bounds.detect_ms]
    for peer in synchrony.peers.values():
        due_times_ms += [peer.heard_ms + bounds.detect_ms, peer.excluded_until_ms]
    return min(time_ms for time_ms in due_times_ms if time_ms > synchrony.last_tick_ms)
