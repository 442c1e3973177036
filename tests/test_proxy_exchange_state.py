"""Exhaustive tests of the exchange state machine over short event histories."""

from itertools import product

import pytest

from frostpost.proxy.exchange_state import (
    AbortConnection,
    BodyEnded,
    Cancelled,
    ConnectionFailed,
    DataRead,
    DrainConnection,
    Ended,
    Finish,
    ForwardData,
    ForwardHead,
    HeadRead,
    MaybeSent,
    NotWritten,
    Queued,
    ReceivingBody,
    Written,
    may_have_run,
    rejection_reason,
    step,
)
from frostpost.proxy.models import Call, RunnerHead
from frostpost.proxy.outcomes import Broken, NotRun, NotSent, Whole

CALL = Call(attempt="a1", method=b"POST", uri=b"/", host="h", headers=[], body=b"", started_ms=0, deadline_ms=9)
OWN = RunnerHead(200, [], attempt="a1", sealed=True)
FAILURE = RunnerHead(500, [], attempt="a1")
REFUSAL = RunnerHead(503, [], attempt="a1", not_executed=True)
MISDIRECTED = RunnerHead(421, [], attempt="a1")
FOREIGN = RunnerHead(200, [], attempt="a0", sealed=True)
EVENTS = [
    Written(True),
    Written(False),
    NotWritten("gone"),
    *map(HeadRead, (OWN, FAILURE, REFUSAL, MISDIRECTED, FOREIGN)),
    DataRead(b"x"),
    BodyEnded(),
    ConnectionFailed("reset"),
    Cancelled(),
]


def run_history(history):
    """Return the state and the actions after a sequence of events."""
    state, actions = Queued(), []
    for event in history:
        state, new_actions = step(CALL, state, event)
        actions += new_actions
    return state, actions


def event_histories(max_length=5):
    for length in range(max_length + 1):
        yield from product(EVENTS, repeat=length)


def test_every_history_finishes_at_most_once_and_last():
    for history in event_histories(4):
        state, actions = run_history(history)
        action_types = [type(action) for action in actions]
        assert action_types.count(Finish) <= 1 and action_types.count(ForwardHead) <= 1, history
        if Finish in action_types:
            assert action_types[-1] is Finish and isinstance(state, Ended), history
        if ForwardData in action_types:
            assert action_types.index(ForwardHead) < action_types.index(ForwardData), history
        if isinstance(state, Ended) and state.outcome is None:
            assert Finish not in action_types and Cancelled() in history, history


def test_only_unsent_or_refused_exchanges_are_not_executed():
    for history in event_histories(4):
        state, _ = run_history(history)
        written = any(isinstance(event, Written) for event in history)
        if isinstance(state, Ended) and isinstance(state.outcome, (NotSent, NotRun)):
            assert not may_have_run(state), history
        elif isinstance(state, Ended) and isinstance(state.outcome, (Broken, Whole)):
            assert may_have_run(state) and written, history
        if may_have_run(state):
            assert written, history


def test_ended_state_is_final():
    for history in event_histories(3):
        state, _ = run_history(history)
        if isinstance(state, Ended):
            assert all(step(CALL, state, event) == (state, ()) for event in EVENTS)


def test_only_the_head_of_the_own_request_is_forwarded():
    for history in event_histories(4):
        _, actions = run_history(history)
        forwarded = [action.head for action in actions if isinstance(action, ForwardHead)]
        assert forwarded in ([], [OWN], [FAILURE]), history


@pytest.mark.parametrize(
    "state, event, next_state, actions",
    [
        (Queued(), Written(True), MaybeSent(True), ()),
        (Queued(), NotWritten("late"), Ended(NotSent("late"), False), (Finish(NotSent("late")),)),
        (Queued(), Cancelled(), Ended(None, False), ()),
        (MaybeSent(False), Cancelled(), Ended(None, True), (AbortConnection(),)),
        (MaybeSent(False), HeadRead(OWN), ReceivingBody(OWN), (ForwardHead(OWN),)),
        (
            MaybeSent(False),
            HeadRead(REFUSAL),
            Ended(NotRun(503), False),
            (DrainConnection(), Finish(NotRun(503))),
        ),
        (
            MaybeSent(False),
            HeadRead(FOREIGN),
            Ended(Broken("attempt"), True),
            (AbortConnection(), Finish(Broken("attempt"))),
        ),
        (MaybeSent(True), ConnectionFailed("r"), Ended(Broken("r"), True), (Finish(Broken("r")),)),
        (
            MaybeSent(True),
            DataRead(b"x"),
            Ended(Broken("order"), True),
            (AbortConnection(), Finish(Broken("order"))),
        ),
        (ReceivingBody(OWN), DataRead(b"x"), ReceivingBody(OWN), (ForwardData(b"x"),)),
        (ReceivingBody(OWN), BodyEnded(), Ended(Whole(), True), (Finish(Whole()),)),
        (ReceivingBody(OWN), ConnectionFailed("r"), Ended(Broken("r"), True), (Finish(Broken("r")),)),
        (
            ReceivingBody(OWN),
            HeadRead(OWN),
            Ended(Broken("order"), True),
            (AbortConnection(), Finish(Broken("order"))),
        ),
        (ReceivingBody(OWN), Cancelled(), Ended(None, True), (AbortConnection(),)),
    ],
)
def test_transitions(state, event, next_state, actions):
    assert step(CALL, state, event) == (next_state, actions)


def head(status, **overrides):
    return RunnerHead(status, overrides.pop("headers", []), **{"attempt": "a1", **overrides})


@pytest.mark.parametrize(
    "answer, fresh, reason",
    [
        (head(200, sealed=True), False, ""),
        (head(200), True, "unsealed"),
        (head(200, sealed=True, attempt="a0"), True, "attempt"),
        (head(200, sealed=True, attempt=""), True, "attempt"),
        (head(200, sealed=True, not_executed=True), True, "contradiction"),
        (head(200, sealed=True, headers=[(b"Content-Encoding", b"gzip")]), True, "encoding"),
        (head(200, sealed=True, headers=[(b"content-encoding", b"identity")]), True, "encoding"),
        (head(500, sealed=True), False, ""),
        (head(404), False, ""),
        (head(503, not_executed=True), False, ""),
        (head(503, not_executed=True, attempt=""), True, ""),
        (head(503, not_executed=True, attempt=""), False, "attempt"),
        (head(503, not_executed=True, attempt="a0"), True, "attempt"),
        (head(421, attempt=""), True, ""),
        (head(421, attempt=""), False, "attempt"),
        (head(503), True, "promise"),
        (head(429, sealed=True), True, "promise"),
        (head(408), True, "promise"),
    ],
)
def test_rejected_heads(answer, fresh, reason):
    assert rejection_reason(answer, CALL, fresh) == reason
