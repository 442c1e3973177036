"""Leases of platform tasks: one owner at a time under rising fences, and counts that never change once decided."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import msgpack

from frostpost.cluster.settings import DaemonSettings
from frostpost.ledger.apply import decode_state
from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger import task_leases
from frostpost.program_ledger.state import ProgramLedger
from frostpost.program_ledger.task_messages import (
    SCALING,
    USAGE,
    CapacitySet,
    ClaimTask,
    CloseUsageWindow,
    CompleteTask,
    NothingDue,
    ScalingTask,
    SetCapacity,
    TaskGranted,
    TaskLeased,
    UsageTask,
    UsageWindowClosed,
)
from frostpost.virtual_synchrony.task_messages import TenantRequests

LEASE_MS, COUNTS = 4500, (TenantRequests("a", 3), TenantRequests("b", 1))
SUBJECT = task_leases.capacity_subject("s", "z")


def apply(ledger, now_ms, op):
    return program_ledgers.apply_operation(ledger, now_ms, (), (), op)


def claim(ledger, now_ms, owner, kind=USAGE, subject=""):
    return apply(ledger, now_ms, ClaimTask(kind, subject, owner, LEASE_MS))


def ledger_with_window(window=7):
    ledger = ProgramLedger()
    apply(ledger, 0, CloseUsageWindow(window, COUNTS))
    return ledger


def test_without_a_due_task_nothing_is_leased():
    ledger = ProgramLedger()
    assert claim(ledger, 0, "a") == NothingDue() and not ledger.tasks.leases and ledger.tasks.last_fence == 0


def test_another_daemon_gets_the_lease_and_a_higher_fence_only_once_it_has_run_out():
    ledger = ledger_with_window()
    task = UsageTask(7, COUNTS)
    assert claim(ledger, 100, "a") == TaskGranted(1, task)
    assert claim(ledger, 99 + LEASE_MS, "b") == TaskLeased(1)
    assert claim(ledger, 100 + LEASE_MS, "b") == TaskGranted(2, task)
    assert claim(ledger, 101 + LEASE_MS, "a") == TaskLeased(LEASE_MS - 1)


def test_the_owner_keeps_its_fence_when_it_claims_again_even_after_its_lease_ran_out():
    ledger = ledger_with_window()
    assert claim(ledger, 0, "a").fence == claim(ledger, 500, "a").fence == claim(ledger, 50000, "a").fence == 1
    assert claim(ledger, 49999 + LEASE_MS, "b") == TaskLeased(1)


def test_a_task_is_completed_only_by_the_current_owner():
    ledger = ledger_with_window()
    claim(ledger, 0, "a")
    claim(ledger, LEASE_MS, "b")
    apply(ledger, LEASE_MS, CompleteTask(USAGE, "", "a", 1, 7))
    assert claim(ledger, LEASE_MS, "b") == TaskGranted(2, UsageTask(7, COUNTS))
    for _ in range(2):
        apply(ledger, LEASE_MS, CompleteTask(USAGE, "", "b", 2, 7))
    assert claim(ledger, LEASE_MS, "b") == NothingDue()


def test_the_first_close_of_a_window_decides_its_counts_also_after_its_report():
    ledger = ledger_with_window()
    other = (TenantRequests("a", 9),)
    assert apply(ledger, 1, CloseUsageWindow(7, other)) == UsageWindowClosed(7, COUNTS)
    claim(ledger, 1, "a")
    apply(ledger, 2, CompleteTask(USAGE, "", "a", 1, 7))
    assert apply(ledger, 3, CloseUsageWindow(7, other)) == UsageWindowClosed(7, ())
    assert apply(ledger, 3, CloseUsageWindow(6, other)) == UsageWindowClosed(6, ())
    assert claim(ledger, 3, "a") == NothingDue()


def test_windows_are_due_oldest_first_and_their_number_is_bounded(monkeypatch):
    monkeypatch.setattr(task_leases, "MAX_UNREPORTED_WINDOWS", 3)
    ledger = ProgramLedger()
    for window in range(1, 6):
        apply(ledger, 0, CloseUsageWindow(window, COUNTS))
    assert claim(ledger, 0, "a").task.window == 3 and list(ledger.tasks.windows) == [3, 4, 5]


def test_a_capacity_is_due_until_the_order_with_its_number_is_complete():
    ledger = ProgramLedger()
    assert apply(ledger, 0, SetCapacity("s", "z", 5)) == apply(ledger, 0, SetCapacity("s", "z", 5)) == CapacitySet(1)
    assert claim(ledger, 0, "a", SCALING, SUBJECT) == TaskGranted(1, ScalingTask("s", "z", 5, 1))
    assert apply(ledger, 0, SetCapacity("s", "z", 6)) == CapacitySet(2)
    apply(ledger, 0, CompleteTask(SCALING, SUBJECT, "a", 1, 1))
    assert claim(ledger, 0, "a", SCALING, SUBJECT) == TaskGranted(1, ScalingTask("s", "z", 6, 2))
    apply(ledger, 0, CompleteTask(SCALING, SUBJECT, "a", 1, 2))
    assert claim(ledger, 0, "a", SCALING, SUBJECT) == NothingDue()
    assert apply(ledger, 0, SetCapacity("s", "z", -1)) == CapacitySet(0) and not ledger.tasks.capacities


def test_orders_of_a_subject_that_returns_have_new_numbers():
    ledger = ProgramLedger()
    apply(ledger, 0, SetCapacity("s", "z", 5))
    apply(ledger, 0, SetCapacity("s", "z", -1))
    assert apply(ledger, 0, SetCapacity("s", "z", 5)) == CapacitySet(2)


def test_removal_of_an_old_lease_never_lowers_a_fence():
    ledger = ledger_with_window()
    claim(ledger, 0, "a")
    apply(ledger, 0, CompleteTask(USAGE, "", "a", 1, 7))
    program_ledgers.expire(ledger, LEASE_MS + task_leases.LEASE_RETENTION_MS)
    assert ledger.tasks.leases
    program_ledgers.expire(ledger, LEASE_MS + task_leases.LEASE_RETENTION_MS + 1)
    assert not ledger.tasks.leases
    apply(ledger, 0, CloseUsageWindow(8, COUNTS))
    assert claim(ledger, 0, "b").fence == 2


def test_a_ledger_of_the_build_before_is_read_without_tasks():
    before = msgpack.decode(msgpack.encode(ProgramLedger()))[:-1]
    ledger = msgpack.decode(msgpack.encode(before), type=ProgramLedger)
    assert ledger == ProgramLedger()
    state = decode_state(msgpack.encode({"coppice": before}))
    assert state.program_ledger.tasks == ledger.tasks


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("claim", "claim", "claim", "complete", "close", "order")),
        st.sampled_from(("a", "b", "c")),
        st.integers(0, 2 * LEASE_MS),
        st.integers(0, 3),
    ),
    max_size=60,
)


class History:
    """A ledger, and what it has granted and decided."""

    def __init__(self):
        self.ledger, self.now_ms, self.granted = ProgramLedger(), 0, []
        self.owners, self.fences, self.decided = {}, {}, {}

    def claim(self, owner, number):
        for subject in ((USAGE, ""), (SCALING, SUBJECT)):
            result = claim(self.ledger, self.now_ms, owner, *subject)
            if isinstance(result, TaskGranted):
                assert self.owners.setdefault(result.fence, (owner, subject)) == (owner, subject)
                assert result.fence >= self.fences.get(subject, 0)
                self.fences[subject] = result.fence
                self.granted.append((self.now_ms, subject, owner))

    def complete(self, owner, number):
        for subject in ((USAGE, ""), (SCALING, SUBJECT)):
            apply(self.ledger, self.now_ms, CompleteTask(*subject, owner, self.fences.get(subject, 0), number))

    def close(self, owner, number):
        result = apply(self.ledger, self.now_ms, CloseUsageWindow(number, (TenantRequests(owner, number + 1),)))
        if result.counts:
            assert self.decided.setdefault(number, result.counts) == result.counts

    def order(self, owner, number):
        apply(self.ledger, self.now_ms, SetCapacity("s", "z", number))


@given(STEPS)
def test_any_interleaving_keeps_fences_and_counts(steps):
    history = History()
    for kind, owner, elapsed_ms, number in steps:
        history.now_ms += elapsed_ms
        getattr(history, kind)(owner, number)
    granted = history.granted
    for index, (last_ms, subject, owner) in enumerate(granted):
        between = [g for g in granted[:index] if g[1] == subject and last_ms - g[0] < 2 * LEASE_MS]
        names = [g[2] for g in between]
        if owner in names:
            assert set(names[names.index(owner) :]) == {owner}


class Holders:
    """Daemons that claim on a ledger whose clock is advanced late, and act as long as they may."""

    def __init__(self, daemon_settings):
        self.settings, self.ledger, self.now_ms, self.ledger_ms, self.calls = daemon_settings, ProgramLedger(), 0, 0, []
        apply(self.ledger, 0, CloseUsageWindow(1, COUNTS))

    def advance(self, elapsed_ms, ticks):
        """Let time pass; the ledger's clock follows, at the latest MAX_TICKS_AT_ONCE intervals behind."""
        self.now_ms += elapsed_ms
        if ticks or self.now_ms - self.ledger_ms > 3 * self.settings.tick_ms + self.settings.lease_ms:
            self.ledger_ms = self.now_ms

    def claim_and_call(self, owner, order_ms, call_ms):
        """Claim, which is ordered after order_ms, and call call_ms later if that is still allowed."""
        claimed_ms = self.now_ms
        self.advance(order_ms, False)
        op = ClaimTask(USAGE, "", owner, self.settings.task_lease_ms)
        result = apply(self.ledger, self.ledger_ms, op)
        sent_ms = self.now_ms + call_ms
        if isinstance(result, TaskGranted) and sent_ms < claimed_ms + self.settings.task_call_ms:
            self.calls.append((sent_ms, owner, result.fence))


@pytest.mark.parametrize("separation_ms", [300, 3000, 20000])
@settings(max_examples=150)
@given(st.data())
def test_calls_of_two_daemons_keep_their_separation_although_the_ledgers_clock_lags(separation_ms, data):
    daemon_settings = DaemonSettings("s", "core", "z", "h", 1, task_separation_ms=separation_ms)
    holders = Holders(daemon_settings)
    moments = st.integers(0, daemon_settings.task_lease_ms)
    for _ in range(data.draw(st.integers(1, 25))):
        holders.advance(data.draw(moments), data.draw(st.booleans()))
        holders.claim_and_call(data.draw(st.sampled_from("abc")), data.draw(st.integers(0, 400)), data.draw(moments))
    calls = sorted(holders.calls)
    assert [fence for _, _, fence in calls] == sorted(fence for _, _, fence in calls)
    for first, (at_ms, owner, _) in enumerate(calls):
        others = [index for index, call in enumerate(calls) if index > first and call[1] != owner]
        again = [call for index, call in enumerate(calls) if others and index > others[0] and call[1] == owner]
        assert all(call[0] - at_ms >= separation_ms for call in again)
