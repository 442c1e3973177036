"""Turns: reserve budget and a runner, stream the runner's pieces, settle."""

from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.context import count
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import Release, Reserve, Settle
from frostpost.ledger.results import Reserved
from frostpost.placement.ranking import history_digests

from . import errors, forward
from .calls import remaining_ms
from .forward import unsent
from .selecting import meaning, record_failure, select
from .stream import Stream

CANDIDATES = 6


@inlineCallbacks
def turn(ctx, call):
    """Serve a turn; returns an error or None. A reservation is always settled or released."""
    key, tried = f"{call.tenant}/{call.document['program']}", set()
    amount = min(call.document.get("max_output", call.route.max_output), call.route.max_output)
    while True:
        if remaining_ms(ctx, call) <= 0:
            return errors.DeadlineExceeded()
        held = ctx.core.ledger.programs.get(key)
        chain = history_digests(held.lines) if held else ()
        ranked = select(ctx, call, chain, tried)
        if not ranked or call.gone:
            return errors.RunnersFull()
        result = yield submit(
            ctx,
            Reserve(
                key,
                amount,
                call.route.budget,
                call.route.retention_ms,
                call.route.pools,
                tuple((r.name, r.instance) for r in ranked[:CANDIDATES]),
                call.route.marks,
                max(call.route.budget_retention_ms, call.route.retention_ms),
            ),
            min(ctx.settings.doors.ask_ms, remaining_ms(ctx, call)),
        )
        if result.is_error():
            return result.error
        if not isinstance(result.ok, Reserved):
            return meaning(result.ok)
        stream = Stream(ctx, call, result.ok)
        try:
            reason = yield stream.run()
        except Exception:
            submit(ctx, Settle(result.ok.index, result.ok.amount, None), ctx.settings.doors.ask_ms)
            raise
        if not unsent(reason):
            return (yield stream.close(reason))
        count(ctx, "attempts_refused")
        submit(ctx, Release(result.ok.index), ctx.settings.doors.ask_ms)
        if not forward.ours(reason):
            record_failure(ctx, result.ok.runner.name)
        tried.add(result.ok.runner.name)
