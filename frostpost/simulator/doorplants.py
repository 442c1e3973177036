from expression import Ok
from twisted.internet.defer import succeed

from frostpost.http_api import carry, control, faults, lookups, turns
from frostpost.ledger.words import Done, Settle, Unclaim
from frostpost.placement import judge
from frostpost.daemon import life
from frostpost.daemon.heart import ask
from frostpost.background import shelves
from . import plants

KEPT = {"close": turns.Stream.close, "read": lookups.read, "load": shelves.load}


def anyFault(reason):
    return reason is not None


def unclaimAll(ctx, op, waitMs):
    return ask(ctx, Unclaim(op.key) if getattr(op, "status", "") == "unknown" else op, waitMs)


def takeAsWhole(stream, reason):
    stream.ended, stream.bad = stream.held is not None, None
    return KEPT["close"](stream, None if stream.ended else reason)


def spendNothing(reservation, used, line):
    return Settle(reservation, 0, line)


def hasty(ctx, op, waitMs):
    answer = ask(ctx, op, waitMs)
    return succeed(Ok(Done(0))) if isinstance(op, Settle) and op.line is not None else answer


def atOnce(ctx, index, what):
    return True


def heedNothing(request, held):
    return Ok(held)


def anyRunner(ctx, runner):
    return True


def anyService(ctx, go, client, base):
    return succeed(True)


def hurried(ctx, test, waitMs):
    return succeed(True)


def loseBodies(ctx, folder):
    fault = KEPT["load"](ctx, folder)
    ctx.shelf = type(ctx.shelf)(ctx.shelf.me)
    return fault


def lastVerdict(run):
    said = KEPT["read"](run)
    kept, LAST[:] = list(LAST), [said] if said.is_ok() else list(LAST)
    return kept[0] if kept else said


LAST = []
UNHEEDING = tuple(v for v in judge.VETOES if v is not judge.vetoLeaving)
DOORS = {
    "retryOnce": [(lookups, "unsent", anyFault)],
    "keyFreed": [(lookups, "ask", unclaimAll)],
    "partialTaken": [(turns.Stream, "close", takeAsWhole)],
    "splice": [(turns, "unsent", anyFault)],
    "spendNothing": [(turns, "Settle", spendNothing)],
    "endFirst": [(turns, "ask", hasty)],
    "ackAtOnce": [(control, "everywhere", atOnce)],
    "heedNothing": [(control, "ifMatch", heedNothing)],
    "sendLeaving": [(carry, "mayRun", anyRunner), (carry, "proved", anyService), (judge, "VETOES", UNHEEDING)],
    "anyService": [(carry, "proved", anyService)],
    "leaveEarly": [(life, "until", hurried)],
    "noLease": plants.PLANTS["noLease"],
    "loseBodies": [(shelves, "load", loseBodies)],
    "lastVerdict": [(lookups, "read", lastVerdict)],
    "denyRun": [(lookups.faults, "Unknown", faults.RunnersFull)],
}


def planted(name):
    LAST.clear()
    return plants.planted(name, DOORS)
