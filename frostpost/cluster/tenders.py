"""Voters that change by themselves, one at a time, and storage daemons that are emptied."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.context import clock_ms
from frostpost.daemon.heart import ask, feed
from frostpost.daemon.news import say
from frostpost.program_ledger.words import Retired
from frostpost.virtual_synchrony.events import Left, SetVoters
from frostpost.virtual_synchrony.state import names

from .serving import sequencing, voters_of

MISSING = "missing"
AWAY_MS = 1000


class VoterChanges(Struct):
    """away: voters that aren't members, and since when. busy: a change is under way."""

    away: dict[str, int] = {}
    busy: bool = False
    left: bool = False


def whole(ctx, name):
    """Whether a member has been refilled and lacks no body."""
    synchrony = ctx.core.synchrony
    if name == synchrony.name:
        return synchrony.primary.ready and not synchrony.news.get(MISSING, 0)
    peer = synchrony.peers.get(name)
    if peer is None or peer.configuration != synchrony.configuration.id:
        return False
    return peer.ready and not peer.news.get(MISSING, 1)


def wish(ctx, background, least, away_ms):
    """The voters after one safe change, or None if they are right.

    A voter that is gone gives way to a newcomer before the newcomer is added: with both in the set, a newcomer that is
    lost again would leave too few for good.
    """
    voters, present = tuple(voters_of(ctx)), names(ctx.core.synchrony.configuration)
    retiring, now = ctx.core.ledger.program_ledger.retiring, clock_ms(ctx)
    background.away = {v: background.away.get(v, now) for v in voters if v not in present}
    fresh = [n for n in present if n not in voters and n not in retiring and whole(ctx, n)]
    away = [v for v, since_ms in background.away.items() if now - since_ms >= min(away_ms, AWAY_MS)]
    if fresh and away and len(voters) > 1:
        return tuple(v for v in voters if v != away[0])
    if fresh and not background.away:
        return tuple(sorted((*voters, fresh[0])))
    if len(voters) <= least:
        return None
    leaving = [v for v in voters if v in retiring and all(whole(ctx, n) for n in present if n not in retiring)]
    gone = [v for v, since_ms in background.away.items() if now - since_ms >= away_ms]
    for name in (*leaving, *gone):
        return tuple(v for v in voters if v != name)
    return None


@inlineCallbacks
def tend(ctx, background, least, away_ms):
    """Called several times a second in every ring daemon."""
    program_ledger, synchrony = ctx.core.ledger.program_ledger, ctx.core.synchrony
    if program_ledger.retiring.get(synchrony.name) == "completed" and not background.left:
        background.left = True
        say("retired", name=synchrony.name)
        feed(ctx, Left(clock_ms(ctx)))
    if not sequencing(ctx):
        background.away = {}
        return
    if background.busy:
        return
    background.busy = True
    try:
        while (after := wish(ctx, background, least, away_ms)) is not None and sequencing(ctx):
            before = tuple(ctx.core.ledger.voters)
            result = yield ask(ctx, SetVoters(synchrony.configuration.id, before, after), 2000)
            say("voters", before=list(before), after=list(after), decided=result.is_ok())
            if not result.is_ok() or tuple(ctx.core.ledger.voters) != after:
                break
        for name in emptied(ctx):
            yield ask(ctx, Retired(name), 2000)
    finally:
        background.busy = False


def emptied(ctx):
    """Storage daemons asked to leave that are no voters, and whose bodies the others have."""
    retiring, present = ctx.core.ledger.program_ledger.retiring, names(ctx.core.synchrony.configuration)
    staying = [n for n in present if n not in retiring]
    if not all(whole(ctx, n) for n in staying):
        return []
    return [n for n, state in retiring.items() if state == "in_service" and n not in voters_of(ctx)]
