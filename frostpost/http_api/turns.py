"""Turns: reserve budget and a runner, stream the runner's output, settle the reservation."""

from twisted.internet.defer import inlineCallbacks

from frostpost.daemon.context import count
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import Release, Reserve, Settle
from frostpost.ledger.results import Reserved
from frostpost.placement.ranking import history_digests

from . import errors, forward
from .calls import remaining_ms
from .forward import was_not_run
from .runner_selection import rank_runners, record_failure, reservation_error
from .stream import Stream

MAX_CANDIDATES = 6


@inlineCallbacks
def turn(ctx, call):
    """Serve a turn; returns an error or None.

    A reservation is released if the runner did not run the turn, and settled otherwise; only after a release is another
    runner tried.
    """
    key, tried = f"{call.tenant}/{call.document['program']}", set()
    amount = min(call.document.get("max_output", call.route.max_output), call.route.max_output)
    while True:
        if remaining_ms(ctx, call) <= 0:
            return errors.DeadlineExceeded()
        program = ctx.core.ledger.programs.get(key)
        prefix_digests = history_digests(program.lines) if program else ()
        candidates = rank_runners(ctx, call, prefix_digests, tried)
        if not candidates or call.client_gone:
            return errors.RunnersFull()
        result = yield submit(
            ctx,
            Reserve(
                key,
                amount,
                call.route.budget,
                call.route.retention_ms,
                call.route.pools,
                tuple((r.name, r.instance) for r in candidates[:MAX_CANDIDATES]),
                call.route.marks,
                max(call.route.budget_retention_ms, call.route.retention_ms),
            ),
            min(ctx.settings.doors.ask_ms, remaining_ms(ctx, call)),
        )
        if result.is_error():
            return result.error
        if not isinstance(result.ok, Reserved):
            return reservation_error(result.ok)
        stream = Stream(ctx, call, result.ok)
        try:
            reason = yield stream.run()
        except Exception:
            submit(ctx, Settle(result.ok.index, result.ok.amount, None), ctx.settings.doors.ask_ms)
            raise
        if not was_not_run(reason):
            return (yield stream.close(reason))
        count(ctx, "attempts_refused")
        submit(ctx, Release(result.ok.index), ctx.settings.doors.ask_ms)
        if not forward.is_local_failure(reason):
            record_failure(ctx, result.ok.runner.name)
        tried.add(result.ok.runner.name)
