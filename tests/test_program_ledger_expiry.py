"""Expiry of attempts, turns and budgets in the program ledger."""

from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    Candidate,
    EndAttempt,
    NoAttempt,
    NoTurn,
    ReassignAttempt,
    TokensSpent,
)
from frostpost.program_ledger.state import ProgramLedger
from frostpost.program_ledger.turns import CHAIN_RETENTION_MARGIN_MS

ONE_RUNNER = (Candidate("r", 4),)


def apply_operation(program_ledger, now_ms, op):
    return program_ledgers.apply_operation(program_ledger, now_ms, (), (), op)


def begin(name, previous="", budget=100, amount=10, remaining_ms=5000, program="p"):
    return BeginAttempt(name, program, budget, amount, previous, remaining_ms, ONE_RUNNER)


def ledger_with_expired_predecessor():
    """Return a ledger with an open attempt "b" that follows turn "a", whose own retention has passed."""
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a"))
    apply_operation(program_ledger, 0, EndAttempt("a", 1, 3000))
    assert apply_operation(program_ledger, 2900, begin("b", "a")) == AttemptBegun("r", ("a",))
    program_ledgers.expire(program_ledger, 3100)
    return program_ledger


def test_begin_resubmitted_after_the_previous_turn_has_expired_gets_a_result():
    assert isinstance(
        apply_operation(ledger_with_expired_predecessor(), 3100, begin("b", "a")), (AttemptBegun, NoTurn, NoAttempt)
    )


def test_reassignment_after_the_previous_turn_has_expired_gets_a_result():
    assert isinstance(
        apply_operation(ledger_with_expired_predecessor(), 3100, ReassignAttempt("b", ONE_RUNNER)),
        (AttemptBegun, NoTurn, NoAttempt),
    )


def test_turn_is_retained_though_the_retention_of_the_previous_one_passed_meanwhile():
    program_ledger = ledger_with_expired_predecessor()
    assert apply_operation(program_ledger, 3100, EndAttempt("b", 1, 3000)) == AttemptEnded()
    assert apply_operation(program_ledger, 3200, begin("c", "b")) == AttemptBegun("r", ("a", "b"))


def test_ended_attempt_does_not_begin_again_after_its_short_retention():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a"))
    apply_operation(program_ledger, 100, EndAttempt("a", 1, 3000))
    program_ledgers.expire(program_ledger, 3200)
    assert apply_operation(program_ledger, 3200, begin("a")) == NoAttempt("a") and not program_ledger.attempts


def test_spent_budget_is_not_renewed_while_turns_are_retained():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a", budget=10))
    apply_operation(program_ledger, 0, EndAttempt("a", 10, 1200000))
    for at_ms in range(0, 660001, 60000):
        program_ledgers.expire(program_ledger, at_ms)
        assert isinstance(apply_operation(program_ledger, at_ms, begin(f"b{at_ms}", "a", budget=10)), TokensSpent)


def test_attempt_whose_end_is_not_reported_stays_reserved_in_full():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("kept", budget=10, amount=1))
    apply_operation(program_ledger, 0, EndAttempt("kept", 1, 1200000))
    apply_operation(program_ledger, 0, begin("a", "kept", budget=10, amount=9))
    program_ledgers.expire(program_ledger, 601000)
    assert isinstance(apply_operation(program_ledger, 601000, begin("b", "kept", budget=10)), TokensSpent)


def test_reassignment_after_the_deadline_does_not_leak_a_slot():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a", remaining_ms=5000))
    program_ledgers.expire(program_ledger, 6000)
    apply_operation(program_ledger, 6000, ReassignAttempt("a", ONE_RUNNER))
    for at_ms in range(10000, 700000, 10000):
        program_ledgers.expire(program_ledger, at_ms)
    assert not any(use.active for use in program_ledger.runners.values())


def test_long_attempt_releases_its_slot_when_aborted_late():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a", remaining_ms=900000))
    program_ledgers.expire(program_ledger, 600000)
    apply_operation(program_ledger, 600000, AbortAttempt("a"))
    program_ledgers.expire(program_ledger, 1000000)
    assert not any(use.active for use in program_ledger.runners.values())


def test_unended_attempt_releases_its_slot_at_its_deadline_and_stays_reserved():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a", remaining_ms=5000))
    program_ledgers.expire(program_ledger, 5999)
    assert program_ledger.runners["r"].active == 1
    program_ledgers.expire(program_ledger, 6000)
    assert program_ledger.runners["r"].active == 0 and program_ledger.accounts["p"].reserved == 10
    assert apply_operation(program_ledger, 7000, EndAttempt("a", 4, 1000)) == AttemptEnded()
    assert program_ledger.runners["r"].active == 0
    assert (program_ledger.accounts["p"].spent, program_ledger.accounts["p"].reserved) == (4, 0)


def test_branches_share_a_chain_retained_by_the_longest_lived():
    program_ledger = ProgramLedger()
    for name, previous, retention_ms in (("a", "", 1000), ("b", "a", 9000), ("c", "a", 2000)):
        apply_operation(program_ledger, 0, begin(name, previous))
        apply_operation(program_ledger, 0, EndAttempt(name, 1, retention_ms))
    program_ledgers.expire(program_ledger, 2000)
    assert set(program_ledger.turns) == {"a", "b"}
    program_ledgers.expire(program_ledger, 8999)
    assert apply_operation(program_ledger, 8999, begin("d", "b")) == AttemptBegun("r", ("a", "b"))
    apply_operation(program_ledger, 8999, AbortAttempt("d"))
    retained_until_ms = program_ledger.turns["a"].kept_until_ms
    assert (
        retained_until_ms >= 9000 + CHAIN_RETENTION_MARGIN_MS
        and program_ledger.turns["b"].kept_until_ms == retained_until_ms
    )
    program_ledgers.expire(program_ledger, retained_until_ms)
    assert program_ledger.turns == {} and apply_operation(program_ledger, retained_until_ms, begin("e", "b")) == NoTurn(
        "b"
    )


def test_resubmitted_end_gets_the_same_result():
    program_ledger = ProgramLedger()
    apply_operation(program_ledger, 0, begin("a"))
    assert [apply_operation(program_ledger, 0, EndAttempt("a", 3)) for _ in range(2)] == [
        AttemptEnded(),
        AttemptEnded(),
    ]
    assert program_ledger.accounts["p"].spent == 3
