"""Planted faults of the HTTP interface, for tests of the checkers."""

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

KEPT = {"close": turns.Stream.close, "read": lookups.decode_result, "load": config_bodies.load}


def any_failure(reason):
    """Plant: take every failure as one where nothing ran."""
    return reason is not None


def unclaim_all(ctx, op, wait_ms):
    """Plant: free a key whose outcome is unknown."""
    return submit(ctx, Unclaim(op.key) if getattr(op, "status", "") == "unknown" else op, wait_ms)


def take_as_whole(stream, reason):
    """Plant: take a partial stream as whole."""
    stream.saw_end, stream.stream_error = stream.pending_piece is not None, None
    return KEPT["close"](stream, None if stream.saw_end else reason)


def spend_nothing(reservation, used, line):
    """Plant: settle without spending."""
    return Settle(reservation, 0, line)


def hasty(ctx, op, wait_ms):
    """Plant: answer before the history is ordered."""
    answer = submit(ctx, op, wait_ms)
    return succeed(Ok(Done(0))) if isinstance(op, Settle) and op.line is not None else answer


def at_once(ctx, index, what):
    """Plant: acknowledge a change before all daemons honour it."""
    return True


def heed_nothing(request, held):
    """Plant: ignore If-Match."""
    return Ok(held)


def any_runner(ctx, runner):
    """Plant: send to any runner."""
    return True


def any_service(ctx, attempt, client, base):
    """Plant: skip the proof of identity."""
    return succeed(True)


def hurried(ctx, test, wait_ms):
    """Plant: leave without waiting."""
    return succeed(True)


def lose_bodies(ctx, folder):
    """Plant: forget the configuration bodies on disk."""
    fault = KEPT["load"](ctx, folder)
    ctx.body_store = type(ctx.body_store)(ctx.body_store.own_source)
    return fault


def last_result(run):
    """Plant: give a caller the result of the call before."""
    said = KEPT["read"](run)
    kept, LAST[:] = list(LAST), [said] if said.is_ok() else list(LAST)
    return kept[0] if kept else said


LAST = []
UNHEEDING = tuple(v for v in ranking.VETOES if v is not ranking.veto_leaving)
DOORS = {
    "retry_once": [(lookups, "was_not_run", any_failure)],
    "key_freed": [(lookups, "submit", unclaim_all)],
    "partial_taken": [(turns.Stream, "close", take_as_whole)],
    "splice": [(turns, "was_not_run", any_failure)],
    "spend_nothing": [(stream, "Settle", spend_nothing)],
    "end_first": [(stream, "submit", hasty)],
    "ack_at_once": [(control, "all_members_reached", at_once)],
    "heed_nothing": [(control, "expected_version", heed_nothing)],
    "send_leaving": [
        (forward, "is_available", any_runner),
        (forward, "verify_identity", any_service),
        (ranking, "VETOES", UNHEEDING),
    ],
    "any_service": [(forward, "verify_identity", any_service)],
    "leave_early": [(lifecycle, "poll_until", hurried)],
    "no_lease": plants.PLANTS["no_lease"],
    "lose_bodies": [(config_bodies, "load", lose_bodies)],
    "last_result": [(lookups, "decode_result", last_result)],
    "deny_run": [(lookups.errors, "Unknown", errors.RunnersFull)],
}


def planted(name):
    """Context manager: put a planted fault into the code."""
    LAST.clear()
    return plants.planted(name, DOORS)
