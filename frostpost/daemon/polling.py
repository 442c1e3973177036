"""Waiting for a condition by polling."""

from twisted.internet.defer import Deferred

POLL_INTERVAL_S = 0.02


def poll_until(ctx, condition, timeout_ms):
    """Return a Deferred that fires with True once the condition holds, or with False after `timeout_ms`."""
    deferred = Deferred()
    end_s = ctx.reactor.seconds() + timeout_ms / 1000

    def poll():
        if condition():
            deferred.callback(True)
        elif ctx.reactor.seconds() >= end_s:
            deferred.callback(False)
        else:
            ctx.reactor.callLater(POLL_INTERVAL_S, poll)

    poll()
    return deferred
