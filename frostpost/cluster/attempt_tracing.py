"""Trace lines that follow one attempt through a daemon, if its settings enable them."""

from frostpost.daemon.structured_log import log_event
from frostpost.program_ledger.ids import client_id_of

from .agent_context import now_ms


def is_traced(agent):
    """Whether the settings enable trace lines."""
    return getattr(agent.settings, "trace", False)


def trace_operation(agent, op, deferred):
    """Log the submission of an operation and its result; the Deferred's result passes through unchanged."""
    attempt, started_ms = getattr(op, "attempt", None), now_ms(agent)
    if attempt is None:
        return
    attempt, operation = client_id_of(attempt), type(op).__name__
    log_event("trace", attempt=attempt, at="handed in", operation=operation)

    def on_decided(result):
        outcome = result.ok if result.is_ok() else result.error
        log_event(
            "trace",
            attempt=attempt,
            at="decided",
            operation=operation,
            verdict=type(outcome).__name__,
            took_ms=now_ms(agent) - started_ms,
        )
        return result

    deferred.addCallback(on_decided)


def trace_request(agent, call, request):
    """Log the start of a client's request, and its status and duration when it ends."""
    started_ms, previous_callback = now_ms(agent), request.on_finished
    log_event(
        "trace",
        attempt=call.attempt,
        at="taken",
        host=call.host,
        program=call.program,
        key=call.key,
        previous=call.previous_turn,
    )

    def on_finished(lost):
        log_event(
            "trace",
            attempt=call.attempt,
            at="answered",
            status=request.code if request.startedWriting else 0,
            lost=lost,
            took_ms=now_ms(agent) - started_ms,
        )
        previous_callback(lost)

    request.on_finished = on_finished
