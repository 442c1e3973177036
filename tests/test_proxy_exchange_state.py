"""The state machine of one send, exhaustively over short histories."""

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
    Wrote,
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
HEARD = [
    Wrote(True),
    Wrote(False),
    NotWritten("gone"),
    *map(HeadRead, (OWN, FAILURE, REFUSAL, MISDIRECTED, FOREIGN)),
    DataRead(b"x"),
    BodyEnded(),
    ConnectionFailed("reset"),
    Cancelled(),
]


def played(history):
    """(state, actions) after a history."""
    state, actions = Queued(), []
    for heard in history:
        state, more = step(CALL, state, heard)
        actions += more
    return state, actions


def histories(most=5):
    for length in range(most + 1):
        yield from product(HEARD, repeat=length)


def test_every_short_history_ends_at_most_once_and_in_order():
    for history in histories(4):
        state, actions = played(history)
        kinds = [type(action) for action in actions]
        assert kinds.count(Finish) <= 1 and kinds.count(ForwardHead) <= 1, history
        if Finish in kinds:
            assert kinds[-1] is Finish and isinstance(state, Ended), history
        if ForwardData in kinds:
            assert kinds.index(ForwardHead) < kinds.index(ForwardData), history
        if isinstance(state, Ended) and state.outcome is None:
            assert Finish not in kinds and Cancelled() in history, history


def test_only_a_send_that_was_not_written_or_was_refused_surely_did_not_run():
    for history in histories(4):
        state, _ = played(history)
        wrote = any(isinstance(heard, Wrote) for heard in history)
        if isinstance(state, Ended) and isinstance(state.outcome, (NotSent, NotRun)):
            assert not may_have_run(state), history
        elif isinstance(state, Ended) and isinstance(state.outcome, (Broken, Whole)):
            assert may_have_run(state) and wrote, history
        if may_have_run(state):
            assert wrote, history


def test_an_end_is_final():
    for history in histories(3):
        state, _ = played(history)
        if isinstance(state, Ended):
            assert all(step(CALL, state, heard) == (state, ()) for heard in HEARD)


def test_a_head_is_handed_on_only_when_it_is_the_calls_own():
    for history in histories(4):
        _, actions = played(history)
        passed = [action.head for action in actions if isinstance(action, ForwardHead)]
        assert passed in ([], [OWN], [FAILURE]), history


@pytest.mark.parametrize(
    "state, heard, after, actions",
    [
        (Queued(), Wrote(True), MaybeSent(True), ()),
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
def test_steps(state, heard, after, actions):
    assert step(CALL, state, heard) == (after, actions)


def head(status, **more):
    return RunnerHead(status, more.pop("headers", []), **{"attempt": "a1", **more})


@pytest.mark.parametrize(
    "answer, fresh, why",
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
def test_which_heads_are_doubted(answer, fresh, why):
    assert rejection_reason(answer, CALL, fresh) == why
