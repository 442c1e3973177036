from twisted.internet.defer import Deferred

STEP_S = 0.02


def until(ctx, test, waitMs):
    answer = Deferred()
    endS = ctx.reactor.seconds() + waitMs / 1000

    def look():
        if test():
            answer.callback(True)
        elif ctx.reactor.seconds() >= endS:
            answer.callback(False)
        else:
            ctx.reactor.callLater(STEP_S, look)

    look()
    return answer
