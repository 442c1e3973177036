"""Automatic reconfiguration of the voters, one step at a time, and retirement of replicas."""

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

MISSING, COUNTED, DRAINING = "missing", "counted", "leaving"
REPLACE_DIVISOR = 4
OPERATION_TIMEOUT_MS = 2000


class VoterChanges(Struct):
    """What the sequencer keeps between two steps; reset when it stops sequencing.

    absent_since_ms: voters that aren't members, and since when. voters_since_ms: since when the voters are in force.
    baselines: per retiring replica, the ledger index from which on nobody counts its copies.
    """

    absent_since_ms: dict[str, int] = {}
    voters: tuple[str, ...] = ()
    voters_since_ms: int = 0
    baselines: dict[str, int] = {}
    epoch: int = 0
    busy: bool = False
    has_left: bool = False


def status_report(turn_store, draining):
    """What a replica reports about its copies with each heartbeat."""
    return {
        MISSING: turn_store.missing_count,
        COUNTED: turn_store.missing_as_of_index,
        **({DRAINING: 1} if draining else {}),
    }


def reported_status(ctx, name):
    """The last report of a member of this configuration; empty if it holds no complete ledger in it."""
    synchrony = ctx.core.synchrony
    if name == synchrony.name:
        return synchrony.status if synchrony.primary.ready else {}
    peer = synchrony.peers.get(name)
    if peer is None or peer.configuration != synchrony.configuration.id or not peer.ready:
        return {}
    return peer.status


def is_complete(ctx, name, min_index=0):
    """Whether a member holds the whole ledger and every body, counted in this configuration and after `min_index`."""
    report, opened_index = reported_status(ctx, name), ctx.core.synchrony.primary.base + 1
    return report.get(MISSING, 1) == 0 and report.get(COUNTED, -1) >= max(min_index, opened_index)


def replica_view(ctx, changes, name, regions):
    """The view of a replica that the voter policy takes."""
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
        draining=bool(reported_status(ctx, name).get(DRAINING)),
        retiring=name in ctx.core.ledger.program_ledger.retiring,
        absent_ms=now - changes.absent_since_ms.get(name, now),
    )


def observe_voters(ctx, changes):
    """Update since when voters are absent, and since when the current set is in force."""
    synchrony, now = ctx.core.synchrony, clock_ms(ctx)
    voters, present = tuple(voters_of(ctx)), member_names(synchrony.configuration)
    changes.absent_since_ms = {v: changes.absent_since_ms.get(v, now) for v in voters if v not in present}
    if voters != changes.voters or synchrony.configuration.id.epoch != changes.epoch:
        changes.voters, changes.voters_since_ms, changes.baselines = voters, now, {}
        changes.epoch = synchrony.configuration.id.epoch


def next_voter_set(ctx, changes, settings):
    """The voters after one safe change, or None if no change is needed."""
    observe_voters(ctx, changes)
    voters = [replica_view(ctx, changes, n, settings.regions) for n in changes.voters]
    present = member_names(ctx.core.synchrony.configuration)
    others = [replica_view(ctx, changes, n, settings.regions) for n in present if n not in changes.voters]
    absence_limits = AbsenceLimits(settings.catch_up_ms // REPLACE_DIVISOR, settings.catch_up_ms)
    return next_voters(
        voters, others, settings.tolerance, absence_limits, ctx.core.ledger.rules >= VOTER_EXCHANGE_RULES
    )


def remaining_members(ctx):
    """Members that aren't retiring."""
    return [
        n for n in member_names(ctx.core.synchrony.configuration) if n not in ctx.core.ledger.program_ledger.retiring
    ]


def releasable_replicas(ctx, changes):
    """Retiring replicas that are no voters and whose copies all other members hold and nobody counts."""
    retiring = ctx.core.ledger.program_ledger.retiring
    return [
        name
        for name, state in retiring.items()
        if state == "in_service"
        and name in changes.baselines
        and name not in voters_of(ctx)
        and all(is_complete(ctx, other, changes.baselines[name]) for other in remaining_members(ctx))
    ]


def replicas_awaiting_baseline(ctx, changes):
    """Retiring replicas that no daemon with a running lease takes for a voter any more."""
    synchrony, voters = ctx.core.synchrony, voters_of(ctx)
    since_ms = max(changes.voters_since_ms, synchrony.installed_ms)
    if clock_ms(ctx) - since_ms < synchrony.bounds.lease_ms:
        return []
    retiring = ctx.core.ledger.program_ledger.retiring
    return [
        name
        for name, state in retiring.items()
        if state == "in_service" and name not in voters and name not in changes.baselines
    ]


def is_dispensable_voter(ctx, settings):
    """Whether this replica is a voter and the other voters are sound without it."""
    name, voters = ctx.core.synchrony.name, voters_of(ctx)
    remaining = [replica_view(ctx, VoterChanges(), n, settings.regions) for n in voters if n != name]
    return ctx.core.synchrony.primary.opened and name in voters and tolerates_loss(remaining, settings.tolerance)


@inlineCallbacks
def reconfigure(ctx, changes, settings):
    """Take the next step: called several times a second in every replica, effective in the sequencer."""
    leave_if_released(ctx, changes)
    if not is_sequencer(ctx):
        changes.absent_since_ms, changes.voters, changes.baselines = {}, (), {}
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
    """Leave the configuration once this replica's retirement is complete."""
    synchrony = ctx.core.synchrony
    if ctx.core.ledger.program_ledger.retiring.get(synchrony.name) == "completed" and not changes.has_left:
        changes.has_left = True
        log_event("retired", name=synchrony.name)
        feed_input(ctx, DrainRequested(clock_ms(ctx)))


@inlineCallbacks
def change_voters(ctx, changes, settings):
    """Order safe changes of the voters one by one, until none is needed or one isn't decided."""
    while (after := next_voter_set(ctx, changes, settings)) is not None and is_sequencer(ctx):
        before = tuple(ctx.core.ledger.voters)
        result = yield submit(ctx, SetVoters(ctx.core.synchrony.configuration.id, before, after), OPERATION_TIMEOUT_MS)
        log_event("voters", before=list(before), after=list(after), decided=result.is_ok())
        if not result.is_ok() or tuple(ctx.core.ledger.voters) != after:
            return
        yield submit(ctx, Look(), OPERATION_TIMEOUT_MS)


@inlineCallbacks
def release_retired(ctx, changes):
    """Complete the retirement of replicas whose copies the others hold.

    First an index is ordered as baseline, then the others count their copies after it, then the retirement completes.
    """
    for name in replicas_awaiting_baseline(ctx, changes):
        epoch, result = changes.epoch, (yield submit(ctx, Look(), OPERATION_TIMEOUT_MS))
        if result.is_ok() and isinstance(result.ok, Done) and changes.epoch == epoch:
            changes.baselines[name] = result.ok.index
    for name in releasable_replicas(ctx, changes):
        yield submit(ctx, CompleteRetirement(name), OPERATION_TIMEOUT_MS)
