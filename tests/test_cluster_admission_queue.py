"""Turns that wait at the leader for a slot: who goes first, who is refused, that none is forgotten or begun twice."""

import pytest
from expression import Error, Ok
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack, structs
from test_cluster_lease_client import fresh, new_ring
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


def a_begin(name, **more):
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
    return BeginAttempt(**(fields | more))


class Leader:
    """A leader whose order decides an operation when the test says so."""

    def __init__(self, monkeypatch):
        self.clock, self.submitted, self.number = Clock(), [], 0
        self.ctx, self.sessions = new_ring(self.clock)
        self.ctx.reactor = self.clock
        monkeypatch.setattr(operation_server, "submit", self.submit)

    @property
    def ledger(self):
        return self.ctx.core.ledger.program_ledger

    def submit(self, ctx, op, wait_ms):
        answer = Deferred()
        self.submitted.append((op, answer))
        return answer

    def ask(self, op, number=None):
        self.number += 1
        request = OperationRequest(7, number or self.number, msgpack.encode(op))
        operation_server.on_operation_request(self.ctx, self.sessions, "@e:1", request)
        return number or self.number

    def decide(self):
        """Apply and answer what was submitted first, as the order does."""
        op, answer = self.submitted.pop(0)
        result = apply_operation(self.ledger, int(self.clock.seconds() * 1000), (), (), op)
        answer.callback(Ok(result))
        admission_queue.dispatch(self.sessions.admission, self.ledger)
        return result

    def replies(self):
        found = {m.number: m for _, m in self.ctx.out if isinstance(m, OperationReply)}
        self.ctx.out.clear()
        return found

    def verdict(self, number):
        reply = self.replies()[number]
        return reply.error or msgpack.decode(reply.result)[0]


@pytest.fixture
def leader(monkeypatch):
    return Leader(monkeypatch)


def fill(leader):
    leader.ask(a_begin("first"))
    assert leader.decide() == AttemptBegun("r", ())
    leader.replies()


def test_a_turn_without_a_slot_is_not_ordered_until_one_is_free(leader):
    fill(leader)
    number = leader.ask(a_begin("second"))
    assert leader.submitted == [] and leader.replies() == {}
    leader.ask(EndAttempt("first", 3))
    leader.decide()
    assert [op.attempt for op, _ in leader.submitted] == ["second"]
    leader.decide()
    assert leader.verdict(number) == "begun"
    assert leader.sessions.admission == admission_queue.AdmissionQueue(number=1)


def test_a_slot_that_is_about_to_be_taken_is_not_given_twice(leader):
    leader.ask(a_begin("first"))
    leader.ask(a_begin("second"))
    assert [op.attempt for op, _ in leader.submitted] == ["first"]
    leader.decide()
    assert leader.submitted == [] and set(leader.sessions.admission.waiting) == {"second"}


def test_a_turn_that_waited_its_time_is_refused_once(leader):
    fill(leader)
    number = leader.ask(a_begin("second"))
    leader.clock.advance(0.99)
    assert leader.replies() == {}
    fresh(leader.ctx, leader.clock)
    leader.clock.advance(0.02)
    assert leader.verdict(number) == "NoPlace"
    leader.ask(EndAttempt("first", 3))
    leader.decide()
    assert leader.submitted == [] and leader.sessions.operations_in_progress == set()


def test_a_request_that_is_sent_again_waits_once(leader):
    fill(leader)
    number = leader.ask(a_begin("second"))
    leader.ask(a_begin("second"), number)
    assert len(leader.sessions.admission.waiting) == 1


def test_a_turn_that_is_given_up_waits_no_more(leader):
    fill(leader)
    leader.ask(a_begin("second"))
    leader.ask(AbortAttempt("second"))
    assert [type(op) for op, _ in leader.submitted] == [AbortAttempt]
    leader.decide()
    leader.ask(EndAttempt("first", 3))
    leader.decide()
    assert leader.submitted == [] and leader.sessions.operations_in_progress == set()


def test_a_replica_that_leads_no_more_refuses_nobody(leader):
    fill(leader)
    number = leader.ask(a_begin("second"))
    leader.ctx.core.synchrony.primary.opened = False
    leader.clock.advance(1.1)
    assert leader.replies()[number].error == type(NoPrimary()).__name__


def test_an_agent_that_knows_no_hold_is_answered_by_the_order(leader):
    fill(leader)
    number = leader.ask(a_begin("second", max_queue_ms=0))
    assert leader.decide() == NoCapacity(20)
    assert leader.verdict(number) == "NoPlace"


def test_a_turn_that_the_order_finds_no_slot_for_waits_on(leader):
    leader.ask(a_begin("first"))
    (op, answer) = leader.submitted.pop()
    answer.callback(Ok(NoCapacity(20)))
    assert set(leader.sessions.admission.waiting) == {"first"}


def test_a_begin_that_is_not_decided_takes_no_slot_for_ever(leader):
    leader.ask(a_begin("first"))
    leader.submitted.pop()[1].callback(Error(Undecided()))
    assert leader.sessions.admission.undecided == {}


def test_the_most_urgent_one_goes_first(leader):
    fill(leader)
    leader.ask(a_begin("late", deadline_in_ms=-1, rank=0))
    leader.ask(a_begin("less", rank=1, deadline_in_ms=100))
    leader.ask(a_begin("later", rank=0, deadline_in_ms=900))
    leader.ask(a_begin("sooner", rank=0, deadline_in_ms=500))
    begun, running = [], "first"
    for _ in range(4):
        leader.ask(EndAttempt(running, 3))
        leader.decide()
        running = leader.submitted[0][0].attempt
        begun.append(running)
        leader.decide()
    assert begun == ["sooner", "later", "less", "late"]


def test_services_do_not_wait_for_one_another(leader):
    fill(leader)
    leader.ask(a_begin("second"))
    leader.ask(a_begin("other", pool="t", candidates=(Candidate("q", 1),)))
    assert [op.attempt for op, _ in leader.submitted] == ["other"]


def test_too_many_are_refused_at_once():
    queue, refused = admission_queue.AdmissionQueue(), []
    queue.waiting = dict.fromkeys(range(admission_queue.MOST_WAITING))
    waiting = admission_queue.WaitingBegin(a_begin("x"), 1000, None, refused.append)
    admission_queue.enqueue(queue, waiting, 0, Clock().callLater)
    assert refused == [NoCapacity(admission_queue.RETRY_MS)]


def test_only_the_want_of_a_slot_makes_a_turn_wait():
    ledger = ProgramLedger()
    begun = a_begin("a", program="p", budget=2, amount=2)
    assert not turns.is_waiting_for_slot(ledger, begun)
    apply_operation(ledger, 0, (), (), begun)
    assert turns.is_waiting_for_slot(ledger, a_begin("b"))
    for op, result in (
        (begun, AttemptBegun),
        (a_begin("b", program="p", budget=2), TokensSpent),
        (a_begin("c", previous="none"), NoTurn),
    ):
        assert not turns.is_waiting_for_slot(ledger, op)
        assert isinstance(apply_operation(ledger, 0, (), (), op), result)


STEPS = st.lists(st.tuples(st.sampled_from(["ask", "end", "abort", "decide", "wait"]), st.integers(0, 5)), max_size=60)


@given(STEPS)
def test_every_turn_is_answered_once_and_no_slot_is_given_twice(steps):
    with pytest.MonkeyPatch.context() as monkeypatch:
        leader, asked, answered = Leader(monkeypatch), {}, []
        slots = (Candidate("r", 2),)

        def collect():
            answered.extend(leader.replies())
            assert (leader.ledger.runners["r"].active if "r" in leader.ledger.runners else 0) <= 2

        for step, n in steps:
            if step == "ask" and f"a{n}" not in asked.values():
                asked[leader.ask(a_begin(f"a{n}", candidates=slots, rank=n % 2))] = f"a{n}"
            elif step == "end":
                leader.ask(EndAttempt(f"a{n}", 1))
            elif step == "abort":
                leader.ask(AbortAttempt(f"a{n}"))
            elif step == "decide" and leader.submitted:
                leader.decide()
            elif step == "wait":
                fresh(leader.ctx, leader.clock)
                leader.clock.advance(0.3)
            collect()
        for _ in range(40):
            while leader.submitted:
                leader.decide()
            fresh(leader.ctx, leader.clock)
            leader.clock.advance(0.1)
            collect()
        assert len(answered) == len(set(answered)) and set(asked) <= set(answered)
        assert leader.sessions.operations_in_progress == set()
        admission = structs.replace(leader.sessions.admission, number=0, heaps={})
        assert admission == admission_queue.AdmissionQueue()
