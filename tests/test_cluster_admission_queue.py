"""The admission queue of the leader: order of dispatch, refusals, and that each attempt is answered exactly once."""

import pytest
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack, structs
from test_cluster_lease_client import new_sequencer, renew_sequencer_lease
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from frostpost.cluster import admission_queue, operation_server
from frostpost.daemon.errors import NoPrimary, Undecided
from frostpost.program_ledger import turns
from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    BeginAttempt,
    Candidate,
    EndAttempt,
    NoCapacity,
    NoTurn,
    TokensSpent,
)
from frostpost.program_ledger.state import ProgramLedger
from frostpost.virtual_synchrony.agent_messages import OperationReply, OperationRequest

ONE_SLOT = (Candidate("r", 1),)


def begin_attempt(name, **changes):
    fields = dict(
        attempt=name,
        program=name,
        budget=0,
        amount=1,
        previous="",
        remaining_ms=3000,
        candidates=ONE_SLOT,
        pool="s",
        max_queue_ms=1000,
        deadline_in_ms=2000,
    )
    return BeginAttempt(**(fields | changes))


class Leader:
    """A leader whose submitted operations are decided when the test calls `decide`."""

    def __init__(self, monkeypatch):
        self.clock, self.submitted, self.number = Clock(), [], 0
        self.ctx, self.sessions = new_sequencer(self.clock)
        self.ctx.reactor = self.clock
        monkeypatch.setattr(operation_server, "submit", self.submit)

    @property
    def ledger(self):
        return self.ctx.core.ledger.program_ledger

    def submit(self, ctx, op, wait_ms):
        answer = Deferred()
        self.submitted.append((op, answer))
        return answer

    def request(self, op, number=None):
        self.number += 1
        message = OperationRequest(7, number or self.number, msgpack.encode(op))
        operation_server.on_operation_request(self.ctx, self.sessions, "@e:1", message)
        return number or self.number

    def decide(self):
        """Apply the first submitted operation and deliver its result. Returns the result."""
        op, answer = self.submitted.pop(0)
        result = apply_operation(self.ledger, int(self.clock.seconds() * 1000), (), (), op)
        answer.callback(Ok(result))
        admission_queue.dispatch(self.sessions.admission, self.ledger)
        return result

    def replies(self):
        replies_by_number = {m.number: m for _, m in self.ctx.out if isinstance(m, OperationReply)}
        self.ctx.out.clear()
        return replies_by_number

    def outcome(self, number):
        reply = self.replies()[number]
        return reply.error or msgpack.decode(reply.result)[0]


@pytest.fixture
def leader(monkeypatch):
    return Leader(monkeypatch)


def occupy_slot(leader):
    leader.request(begin_attempt("first"))
    assert leader.decide() == AttemptBegun("r", ())
    leader.replies()


def test_an_attempt_without_a_slot_is_not_ordered_until_one_is_free(leader):
    occupy_slot(leader)
    number = leader.request(begin_attempt("second"))
    assert leader.submitted == [] and leader.replies() == {}
    leader.request(EndAttempt("first", 3))
    leader.decide()
    assert [op.attempt for op, _ in leader.submitted] == ["second"]
    leader.decide()
    assert leader.outcome(number) == "begun"
    assert leader.sessions.admission == admission_queue.AdmissionQueue(number=1)


def test_a_slot_that_an_undecided_attempt_may_take_is_not_assigned_again(leader):
    leader.request(begin_attempt("first"))
    leader.request(begin_attempt("second"))
    assert [op.attempt for op, _ in leader.submitted] == ["first"]
    leader.decide()
    assert leader.submitted == [] and set(leader.sessions.admission.queued) == {"second"}


def test_an_attempt_past_its_deadline_is_refused_once(leader):
    occupy_slot(leader)
    number = leader.request(begin_attempt("second"))
    leader.clock.advance(0.99)
    assert leader.replies() == {}
    renew_sequencer_lease(leader.ctx, leader.clock)
    leader.clock.advance(0.02)
    assert leader.outcome(number) == "NoPlace"
    leader.request(EndAttempt("first", 3))
    leader.decide()
    assert leader.submitted == [] and leader.sessions.operations_in_progress == set()


def test_a_resent_request_is_queued_once(leader):
    occupy_slot(leader)
    number = leader.request(begin_attempt("second"))
    leader.request(begin_attempt("second"), number)
    assert len(leader.sessions.admission.queued) == 1


def test_an_aborted_attempt_leaves_the_queue(leader):
    occupy_slot(leader)
    leader.request(begin_attempt("second"))
    leader.request(AbortAttempt("second"))
    assert [type(op) for op, _ in leader.submitted] == [AbortAttempt]
    leader.decide()
    leader.request(EndAttempt("first", 3))
    leader.decide()
    assert leader.submitted == [] and leader.sessions.operations_in_progress == set()


def test_a_former_leader_replies_with_an_error_instead_of_a_refusal(leader):
    occupy_slot(leader)
    number = leader.request(begin_attempt("second"))
    leader.ctx.core.synchrony.primary.opened = False
    leader.clock.advance(1.1)
    assert leader.replies()[number].error == type(NoPrimary()).__name__


def test_an_attempt_without_a_hold_time_is_not_queued(leader):
    occupy_slot(leader)
    number = leader.request(begin_attempt("second", max_queue_ms=0))
    assert leader.decide() == NoCapacity(20)
    assert leader.outcome(number) == "NoPlace"


def test_an_attempt_decided_without_a_slot_is_queued_again(leader):
    leader.request(begin_attempt("first"))
    (op, answer) = leader.submitted.pop()
    answer.callback(Ok(NoCapacity(20)))
    assert set(leader.sessions.admission.queued) == {"first"}


def test_an_undecided_attempt_does_not_reserve_a_slot_for_ever(leader):
    leader.request(begin_attempt("first"))
    leader.submitted.pop()[1].callback(Error(Undecided()))
    assert leader.sessions.admission.undecided == {}


def test_the_most_urgent_attempt_is_dispatched_first(leader):
    occupy_slot(leader)
    leader.request(begin_attempt("late", deadline_in_ms=-1, rank=0))
    leader.request(begin_attempt("less", rank=1, deadline_in_ms=100))
    leader.request(begin_attempt("later", rank=0, deadline_in_ms=900))
    leader.request(begin_attempt("sooner", rank=0, deadline_in_ms=500))
    begun, running = [], "first"
    for _ in range(4):
        leader.request(EndAttempt(running, 3))
        leader.decide()
        running = leader.submitted[0][0].attempt
        begun.append(running)
        leader.decide()
    assert begun == ["sooner", "later", "less", "late"]


def test_pools_do_not_block_each_other(leader):
    occupy_slot(leader)
    leader.request(begin_attempt("second"))
    leader.request(begin_attempt("other", pool="t", candidates=(Candidate("q", 1),)))
    assert [op.attempt for op, _ in leader.submitted] == ["other"]


def test_an_attempt_is_refused_at_once_when_the_queue_is_full():
    queue, refused = admission_queue.AdmissionQueue(), []
    queue.queued = dict.fromkeys(range(admission_queue.MAX_QUEUED))
    entry = admission_queue.QueuedAttempt(begin_attempt("x"), 1000, None, refused.append)
    admission_queue.enqueue(queue, entry, 0, Clock().callLater)
    assert refused == [NoCapacity(admission_queue.RETRY_MS)]


def test_an_attempt_is_queued_only_if_a_slot_is_all_it_lacks():
    ledger = ProgramLedger()
    begun = begin_attempt("a", program="p", budget=2, amount=2)
    assert not turns.is_waiting_for_slot(ledger, begun)
    apply_operation(ledger, 0, (), (), begun)
    assert turns.is_waiting_for_slot(ledger, begin_attempt("b"))
    for op, result in (
        (begun, AttemptBegun),
        (begin_attempt("b", program="p", budget=2), TokensSpent),
        (begin_attempt("c", previous="none"), NoTurn),
    ):
        assert not turns.is_waiting_for_slot(ledger, op)
        assert isinstance(apply_operation(ledger, 0, (), (), op), result)


STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "end", "abort", "decide", "wait"]), st.integers(0, 5)), max_size=60
)


@given(STEPS)
def test_every_attempt_is_answered_once_and_no_slot_is_assigned_twice(steps):
    with pytest.MonkeyPatch.context() as monkeypatch:
        leader, attempts_by_number, answered = Leader(monkeypatch), {}, []
        slots = (Candidate("r", 2),)

        def collect():
            answered.extend(leader.replies())
            assert (leader.ledger.runners["r"].active if "r" in leader.ledger.runners else 0) <= 2

        for step, number in steps:
            if step == "request" and f"a{number}" not in attempts_by_number.values():
                attempts_by_number[leader.request(begin_attempt(f"a{number}", candidates=slots, rank=number % 2))] = (
                    f"a{number}"
                )
            elif step == "end":
                leader.request(EndAttempt(f"a{number}", 1))
            elif step == "abort":
                leader.request(AbortAttempt(f"a{number}"))
            elif step == "decide" and leader.submitted:
                leader.decide()
            elif step == "wait":
                renew_sequencer_lease(leader.ctx, leader.clock)
                leader.clock.advance(0.3)
            collect()
        for _ in range(40):
            while leader.submitted:
                leader.decide()
            renew_sequencer_lease(leader.ctx, leader.clock)
            leader.clock.advance(0.1)
            collect()
        assert len(answered) == len(set(answered)) and set(attempts_by_number) <= set(answered)
        assert leader.sessions.operations_in_progress == set()
        admission = structs.replace(leader.sessions.admission, number=0, heaps={})
        assert admission == admission_queue.AdmissionQueue()
