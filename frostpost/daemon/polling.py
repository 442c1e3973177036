"""Wait for a condition."""

from twisted.internet.defer import Deferred

STEP_S = 0.02


def poll_until(ctx, test, wait_ms):
    """Deferred of True once a test holds, of False after `wait_ms`."""
    answer = Deferred()
    end_s = ctx.reactor.seconds() + wait_ms / 1000

    def look():
        if test():
            answer.callback(True)
        elif ctx.reactor.seconds() >= end_s:
            answer.callback(False)
        else:
            ctx.reactor.callLater(STEP_S, look)

    look()
    return answer
