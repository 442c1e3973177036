"""Voters that change by themselves, one step at a time, and replicas that are emptied."""

from msgspec import Struct
from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.context import clock_ms
from frostpost.daemon.event_loop import feed_input, submit
from frostpost.daemon.structured_log import log_event
from frostpost.ledger.operations import VOTER_EXCHANGE_RULES, Look
from frostpost.ledger.results import Done
from frostpost.program_ledger.messages import CompleteRetirement
from frostpost.virtual_synchrony.events import DrainRequested, SetVoters
from frostpost.virtual_synchrony.members import member_names

from .agent_sessions import is_sequencer, voters_of
from .voter_policy import AbsenceLimits, ReplicaView, next_voters, tolerates_loss

MISSING, COUNTED, LEAVING = "missing", "counted", "leaving"
TO_NEWCOMER_SHARE = 4
OPERATION_TIMEOUT_MS = 2000


class VoterChanges(Struct):
    """What the sequencer remembers between two looks; it forgets all of it when it stops being the sequencer.

    away: voters that aren't members, and since when. voters_ms: since when the voters are those in force.
    marks: for each replica that is emptied, the ledger index from which on its copies aren't counted by anybody.
    """

    away: dict[str, int] = {}
    voters: tuple[str, ...] = ()
    voters_ms: int = 0
    marks: dict[str, int] = {}
    epoch: int = 0
    busy: bool = False
    left: bool = False


def status_report(turn_store, leaving):
    """What a replica tells the others of its copies, with each heartbeat."""
    return {
        MISSING: turn_store.missing_count,
        COUNTED: turn_store.missing_as_of_index,
        **({LEAVING: 1} if leaving else {}),
    }


def reported_status(ctx, name):
    """What a member of this configuration told last of its copies; empty if it holds no full ledger in it."""
    synchrony = ctx.core.synchrony
    if name == synchrony.name:
        return synchrony.status if synchrony.primary.ready else {}
    peer = synchrony.peers.get(name)
    if peer is None or peer.configuration != synchrony.configuration.id or not peer.ready:
        return {}
    return peer.status


def is_complete(ctx, name, since=0):
    """Whether a member holds the whole ledger and every body, as counted in this configuration and after `since`."""
    news, opened = reported_status(ctx, name), ctx.core.synchrony.primary.base + 1
    return news.get(MISSING, 1) == 0 and news.get(COUNTED, -1) >= max(since, opened)


def replica_view(ctx, changes, name, regions):
    """A replica as the rule for voters sees it."""
    synchrony, now = ctx.core.synchrony, clock_ms(ctx)
    peer = synchrony.peers.get(name)
    endpoint = synchrony.endpoint if name == synchrony.name else peer.endpoint if peer is not None else None
    zone = endpoint.zone if endpoint is not None else ""
    present = name in member_names(synchrony.configuration)
    return ReplicaView(
        name,
        zone,
        regions.get(zone, ""),
        present=present,
        complete=present and is_complete(ctx, name),
        draining=bool(reported_status(ctx, name).get(LEAVING)),
        retiring=name in ctx.core.ledger.program_ledger.retiring,
        away_ms=now - changes.away.get(name, now),
    )


def observe_voters(ctx, changes):
    """Take in since when voters are away, and since when the set in force is."""
    synchrony, now = ctx.core.synchrony, clock_ms(ctx)
    voters, present = tuple(voters_of(ctx)), member_names(synchrony.configuration)
    changes.away = {v: changes.away.get(v, now) for v in voters if v not in present}
    if voters != changes.voters or synchrony.configuration.id.epoch != changes.epoch:
        changes.voters, changes.voters_ms, changes.marks = voters, now, {}
        changes.epoch = synchrony.configuration.id.epoch


def next_voter_set(ctx, changes, settings):
    """The voters after one safe change, or None if they are right."""
    observe_voters(ctx, changes)
    voters = [replica_view(ctx, changes, n, settings.regions) for n in changes.voters]
    present = member_names(ctx.core.synchrony.configuration)
    others = [replica_view(ctx, changes, n, settings.regions) for n in present if n not in changes.voters]
    waits = AbsenceLimits(settings.catch_up_ms // TO_NEWCOMER_SHARE, settings.catch_up_ms)
    return next_voters(voters, others, settings.tolerance, waits, ctx.core.ledger.rules >= VOTER_EXCHANGE_RULES)


def remaining_members(ctx):
    """Members that aren't emptied."""
    return [
        n for n in member_names(ctx.core.synchrony.configuration) if n not in ctx.core.ledger.program_ledger.retiring
    ]


def releasable_replicas(ctx, changes):
    """Replicas asked to leave that are no voters, whose copies nobody counts and the others all have."""
    retiring = ctx.core.ledger.program_ledger.retiring
    return [
        n
        for n, state in retiring.items()
        if state == "in_service"
        and n in changes.marks
        and n not in voters_of(ctx)
        and all(is_complete(ctx, other, changes.marks[n]) for other in remaining_members(ctx))
    ]


def replicas_to_mark(ctx, changes):
    """Replicas asked to leave that no daemon with a running lease takes for a voter any more."""
    synchrony, voters = ctx.core.synchrony, voters_of(ctx)
    since_ms = max(changes.voters_ms, synchrony.installed_ms)
    if clock_ms(ctx) - since_ms < synchrony.bounds.lease_ms:
        return []
    retiring = ctx.core.ledger.program_ledger.retiring
    return [n for n, state in retiring.items() if state == "in_service" and n not in voters and n not in changes.marks]


def is_dispensable_voter(ctx, settings):
    """Whether this replica is a voter, and a sound set of voters remains without it."""
    name, voters = ctx.core.synchrony.name, voters_of(ctx)
    rest = [replica_view(ctx, VoterChanges(), n, settings.regions) for n in voters if n != name]
    return ctx.core.synchrony.primary.opened and name in voters and tolerates_loss(rest, settings.tolerance)


@inlineCallbacks
def reconfigure(ctx, changes, settings):
    """Called several times a second in every replica."""
    leave_if_released(ctx, changes)
    if not is_sequencer(ctx):
        changes.away, changes.voters, changes.marks = {}, (), {}
        return
    if changes.busy:
        return
    changes.busy = True
    try:
        yield change_voters(ctx, changes, settings)
        yield release_retired(ctx, changes)
    finally:
        changes.busy = False


def leave_if_released(ctx, changes):
    """A replica that was let go leaves the configuration."""
    synchrony = ctx.core.synchrony
    if ctx.core.ledger.program_ledger.retiring.get(synchrony.name) == "completed" and not changes.left:
        changes.left = True
        log_event("retired", name=synchrony.name)
        feed_input(ctx, DrainRequested(clock_ms(ctx)))


@inlineCallbacks
def change_voters(ctx, changes, settings):
    """Order one safe change of the voters after another, until they are right or a change isn't decided."""
    while (after := next_voter_set(ctx, changes, settings)) is not None and is_sequencer(ctx):
        before = tuple(ctx.core.ledger.voters)
        result = yield submit(ctx, SetVoters(ctx.core.synchrony.configuration.id, before, after), OPERATION_TIMEOUT_MS)
        log_event("voters", before=list(before), after=list(after), decided=result.is_ok())
        if not result.is_ok() or tuple(ctx.core.ledger.voters) != after:
            return
        yield submit(ctx, Look(), OPERATION_TIMEOUT_MS)


@inlineCallbacks
def release_retired(ctx, changes):
    """Release replicas whose copies the others hold: first a mark in the order, then a count after it, then the end."""
    for name in replicas_to_mark(ctx, changes):
        epoch, result = changes.epoch, (yield submit(ctx, Look(), OPERATION_TIMEOUT_MS))
        if result.is_ok() and isinstance(result.ok, Done) and changes.epoch == epoch:
            changes.marks[name] = result.ok.index
    for name in releasable_replicas(ctx, changes):
        yield submit(ctx, CompleteRetirement(name), OPERATION_TIMEOUT_MS)
