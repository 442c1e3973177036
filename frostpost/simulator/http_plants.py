"""Bugs that can be planted in the HTTP interface to test whether the checks of the simulation find them."""

from expression import Ok
from twisted.internet.defer import succeed

from frostpost.background import config_bodies
from frostpost.daemon import lifecycle
from frostpost.daemon.event_loop import submit
from frostpost.http_api import control, errors, forward, lookups, stream, turns
from frostpost.ledger.operations import Settle, Unclaim
from frostpost.ledger.results import Done
from frostpost.placement import ranking

from . import plants

ORIGINALS = {"close": turns.Stream.close, "read": lookups.decode_result, "load": config_bodies.load}


def retry_every_failure(reason):
    """Bug: treat every failure as one in which the runner did nothing."""
    return reason is not None


def unclaim_unknown(ctx, operation, timeout_ms):
    """Bug: free an idempotency key whose outcome is unknown."""
    return submit(
        ctx, Unclaim(operation.key) if getattr(operation, "status", "") == "unknown" else operation, timeout_ms
    )


def accept_partial_stream(stream, reason):
    """Bug: treat a partial stream as complete."""
    stream.saw_end, stream.stream_error = stream.pending_piece is not None, None
    return ORIGINALS["close"](stream, None if stream.saw_end else reason)


def settle_without_spending(reservation, used, line):
    """Bug: settle a reservation without spending anything."""
    return Settle(reservation, 0, line)


def answer_early(ctx, operation, timeout_ms):
    """Bug: answer a turn before its history entry is decided."""
    decision = submit(ctx, operation, timeout_ms)
    return succeed(Ok(Done(0))) if isinstance(operation, Settle) and operation.line is not None else decision


def acknowledge_at_once(ctx, index, what):
    """Bug: acknowledge a change before all daemons have applied it."""
    return True


def ignore_if_match(request, current):
    """Bug: ignore the If-Match header."""
    return Ok(current)


def allow_any_runner(ctx, runner):
    """Bug: send requests to any runner, also one that is shutting down."""
    return True


def skip_identity_check(ctx, attempt, client, base):
    """Bug: skip the check of a runner's identity."""
    return succeed(True)


def skip_waiting(ctx, condition, timeout_ms):
    """Bug: shut down without waiting."""
    return succeed(True)


def lose_bodies(ctx, folder):
    """Bug: discard the configuration bodies that were loaded from disk."""
    error = ORIGINALS["load"](ctx, folder)
    ctx.body_store = type(ctx.body_store)(ctx.body_store.own_source)
    return error


def last_result(run):
    """Bug: return the result of the previous lookup."""
    result = ORIGINALS["read"](run)
    previous, LAST_RESULT[:] = list(LAST_RESULT), [result] if result.is_ok() else list(LAST_RESULT)
    return previous[0] if previous else result


LAST_RESULT = []
VETOES_WITHOUT_LEAVING = tuple(v for v in ranking.VETOES if v is not ranking.veto_leaving)
HTTP_PLANTS = {
    "retry_once": [(lookups, "was_not_run", retry_every_failure)],
    "key_freed": [(lookups, "submit", unclaim_unknown)],
    "partial_taken": [(turns.Stream, "close", accept_partial_stream)],
    "splice": [(turns, "was_not_run", retry_every_failure)],
    "spend_nothing": [(stream, "Settle", settle_without_spending)],
    "end_first": [(stream, "submit", answer_early)],
    "ack_at_once": [(control, "all_members_reached", acknowledge_at_once)],
    "heed_nothing": [(control, "expected_version", ignore_if_match)],
    "send_leaving": [
        (forward, "is_available", allow_any_runner),
        (forward, "verify_identity", skip_identity_check),
        (ranking, "VETOES", VETOES_WITHOUT_LEAVING),
    ],
    "any_service": [(forward, "verify_identity", skip_identity_check)],
    "leave_early": [(lifecycle, "poll_until", skip_waiting)],
    "no_lease": plants.PLANTS["no_lease"],
    "lose_bodies": [(config_bodies, "load", lose_bodies)],
    "last_result": [(lookups, "decode_result", last_result)],
    "deny_run": [(lookups.errors, "Unknown", errors.RunnersFull)],
}


def planted(name):
    """Return a context manager that plants a bug."""
    LAST_RESULT.clear()
    return plants.planted(name, HTTP_PLANTS)
