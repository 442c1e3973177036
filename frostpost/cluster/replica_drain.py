"""The planned end of a replica: it gives up its vote, leaves the configuration and ends."""

from frostpost.daemon import event_loop
from frostpost.daemon.context import clock_ms
from frostpost.virtual_synchrony.events import DrainRequested

from . import voter_reconfiguration

SHUTDOWN_DELAY_S = 0.4
VOTE_CHECK_INTERVAL_S = 0.05
VOTE_WAIT_DIVISOR = 4


def drain(replica):
    """Give up the vote if a majority can do without it, leave the configuration, then end."""
    if replica.draining:
        return
    replica.draining = True
    if replica.awaiting_bootstrap:
        replica.reactor.callLater(SHUTDOWN_DELAY_S, replica.stop, 0)
        return
    replica.ctx.core.synchrony.status = voter_reconfiguration.status_report(replica.turn_store, True)
    until_ms = clock_ms(replica.ctx) + replica.settings.grace_ms // VOTE_WAIT_DIVISOR
    drain_without_vote(replica, until_ms)


def drain_without_vote(replica, until_ms):
    """Wait, up to `until_ms`, while this replica is a voter that the others can do without; then leave and end."""
    if clock_ms(replica.ctx) < until_ms and voter_reconfiguration.is_dispensable_voter(replica.ctx, replica.settings):
        replica.reactor.callLater(VOTE_CHECK_INTERVAL_S, drain_without_vote, replica, until_ms)
        return
    event_loop.feed_input(replica.ctx, DrainRequested(clock_ms(replica.ctx)))
    replica.reactor.callLater(SHUTDOWN_DELAY_S, replica.stop, 0)
