"""Lines that follow one attempt through a daemon, where its settings ask for them."""

from frostpost.daemon.structured_log import log_event

from .agent_context import now_ms


def is_traced(agent):
    """Whether the settings ask for trace lines."""
    return getattr(agent.settings, "trace", False)


def trace_operation(agent, op, answer):
    """Say that an operation is submitted, and its result when it comes; the answer stays what it is."""
    attempt, from_ms = getattr(op, "attempt", None), now_ms(agent)
    if attempt is None:
        return
    operation = type(op).__name__
    log_event("trace", attempt=attempt, at="handed in", operation=operation)

    def decided(result):
        verdict = result.ok if result.is_ok() else result.error
        log_event(
            "trace",
            attempt=attempt,
            at="decided",
            operation=operation,
            verdict=type(verdict).__name__,
            took_ms=now_ms(agent) - from_ms,
        )
        return result

    answer.addCallback(decided)


def trace_request(agent, call, request):
    """Say that a client's request is taken, and how it was answered when that is over."""
    from_ms, ended = now_ms(agent), request.on_over
    log_event("trace", attempt=call.attempt, at="taken", host=call.host, program=call.program, key=call.key)

    def over(lost):
        log_event(
            "trace",
            attempt=call.attempt,
            at="answered",
            status=request.code if request.startedWriting else 0,
            lost=lost,
            took_ms=now_ms(agent) - from_ms,
        )
        ended(lost)

    request.on_over = over
