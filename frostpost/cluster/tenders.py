"""Voters that change by themselves, one at a time, and storage daemons that are emptied."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from frostpost.program_ledger.words import Retired
from frostpost.virtual_synchrony.events import Left, SetVoters
from frostpost.virtual_synchrony.state import names
from frostpost.daemon.context import nowMs
from frostpost.daemon.heart import ask, feed
from frostpost.daemon.news import say

from .serving import sequencing, voters_of

MISSING = "missing"
AWAY_MS = 1000


class Tending(Struct):
    """away: voters that aren't members, and since when. busy: a change is under way."""

    away: dict[str, int] = {}
    busy: bool = False
    left: bool = False


def whole(ctx, name):
    """Whether a member has been refilled and lacks no body."""
    hedge = ctx.core.hedge
    if name == hedge.name:
        return hedge.primary.ready and not hedge.news.get(MISSING, 0)
    peer = hedge.peers.get(name)
    if peer is None or peer.configuration != hedge.configuration.id:
        return False
    return peer.ready and not peer.news.get(MISSING, 1)


def wish(ctx, tending, least, away_ms):
    """The voters after one safe change, or None if they are right.

    A voter that is gone gives way to a newcomer before the newcomer is added: with both in the set, a newcomer that is
    lost again would leave too few for good.
    """
    voters, present = tuple(voters_of(ctx)), names(ctx.core.hedge.configuration)
    retiring, now = ctx.core.granary.coppice.retiring, nowMs(ctx)
    tending.away = {v: tending.away.get(v, now) for v in voters if v not in present}
    fresh = [n for n in present if n not in voters and n not in retiring and whole(ctx, n)]
    away = [v for v, since_ms in tending.away.items() if now - since_ms >= min(away_ms, AWAY_MS)]
    if fresh and away and len(voters) > 1:
        return tuple(v for v in voters if v != away[0])
    if fresh and not tending.away:
        return tuple(sorted((*voters, fresh[0])))
    if len(voters) <= least:
        return None
    leaving = [v for v in voters if v in retiring and all(whole(ctx, n) for n in present if n not in retiring)]
    gone = [v for v, since_ms in tending.away.items() if now - since_ms >= away_ms]
    for name in (*leaving, *gone):
        return tuple(v for v in voters if v != name)
    return None


@inlineCallbacks
def tend(ctx, tending, least, away_ms):
    """Called several times a second in every ring daemon."""
    coppice, hedge = ctx.core.granary.coppice, ctx.core.hedge
    if coppice.retiring.get(hedge.name) == "completed" and not tending.left:
        tending.left = True
        say("retired", name=hedge.name)
        feed(ctx, Left(nowMs(ctx)))
    if not sequencing(ctx):
        tending.away = {}
        return
    if tending.busy:
        return
    tending.busy = True
    try:
        while (after := wish(ctx, tending, least, away_ms)) is not None and sequencing(ctx):
            before = tuple(ctx.core.granary.voters)
            result = yield ask(ctx, SetVoters(hedge.configuration.id, before, after), 2000)
            say("voters", before=list(before), after=list(after), decided=result.is_ok())
            if not result.is_ok() or tuple(ctx.core.granary.voters) != after:
                break
        for name in emptied(ctx):
            yield ask(ctx, Retired(name), 2000)
    finally:
        tending.busy = False


def emptied(ctx):
    """Storage daemons asked to leave that are no voters, and whose bodies the others have."""
    retiring, present = ctx.core.granary.coppice.retiring, names(ctx.core.hedge.configuration)
    staying = [n for n in present if n not in retiring]
    if not all(whole(ctx, n) for n in staying):
        return []
    return [n for n, state in retiring.items() if state == "in_service" and n not in voters_of(ctx)]
