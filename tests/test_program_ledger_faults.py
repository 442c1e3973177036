"""Cases at the edges of the turn ledger's times."""

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

ONE = (Candidate("r", 4),)


def act(program_ledger, now_ms, op):
    return program_ledgers.apply_operation(program_ledger, now_ms, (), (), op)


def begin(name, previous="", budget=100, amount=10, left_ms=5000, program="p"):
    return BeginAttempt(name, program, budget, amount, previous, left_ms, ONE)


def lost_chain():
    """An open attempt that follows a turn whose keep has since run out."""
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a"))
    act(program_ledger, 0, EndAttempt("a", 1, 3000))
    assert act(program_ledger, 2900, begin("b", "a")) == AttemptBegun("r", ("a",))
    program_ledgers.expire(program_ledger, 3100)
    return program_ledger


def test_begin_handed_in_again_after_the_turn_before_has_expired_is_decided():
    assert isinstance(act(lost_chain(), 3100, begin("b", "a")), (AttemptBegun, NoTurn, NoAttempt))


def test_move_after_the_turn_before_has_expired_is_decided():
    assert isinstance(act(lost_chain(), 3100, ReassignAttempt("b", ONE)), (AttemptBegun, NoTurn, NoAttempt))


def test_turn_that_followed_a_kept_turn_is_kept_though_the_keep_ran_out_while_it_ran():
    program_ledger = lost_chain()
    assert act(program_ledger, 3100, EndAttempt("b", 1, 3000)) == AttemptEnded()
    assert act(program_ledger, 3200, begin("c", "b")) == AttemptBegun("r", ("a", "b"))


def test_ended_attempt_does_not_begin_again_once_its_short_keep_ran_out():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a"))
    act(program_ledger, 100, EndAttempt("a", 1, 3000))
    program_ledgers.expire(program_ledger, 3200)
    assert act(program_ledger, 3200, begin("a")) == NoAttempt("a") and not program_ledger.attempts


def test_program_that_spent_its_budget_gets_none_anew_while_its_turns_are_kept():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a", budget=10))
    act(program_ledger, 0, EndAttempt("a", 10, 1200000))
    for at_ms in range(0, 660001, 60000):
        program_ledgers.expire(program_ledger, at_ms)
        assert isinstance(act(program_ledger, at_ms, begin(f"b{at_ms}", "a", budget=10)), TokensSpent)


def test_attempt_whose_end_nobody_tells_stays_counted_at_its_most():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("kept", budget=10, amount=1))
    act(program_ledger, 0, EndAttempt("kept", 1, 1200000))
    act(program_ledger, 0, begin("a", "kept", budget=10, amount=9))
    program_ledgers.expire(program_ledger, 601000)
    assert isinstance(act(program_ledger, 601000, begin("b", "kept", budget=10)), TokensSpent)


def test_move_after_its_attempts_time_takes_no_slot_for_good():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a", left_ms=5000))
    program_ledgers.expire(program_ledger, 6000)
    act(program_ledger, 6000, ReassignAttempt("a", ONE))
    for at_ms in range(10000, 700000, 10000):
        program_ledgers.expire(program_ledger, at_ms)
    assert not any(use.active for use in program_ledger.runners.values())


def test_long_attempt_frees_its_slot_when_its_program_is_forgotten():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a", left_ms=900000))
    program_ledgers.expire(program_ledger, 600000)
    act(program_ledger, 600000, AbortAttempt("a"))
    program_ledgers.expire(program_ledger, 1000000)
    assert not any(use.active for use in program_ledger.runners.values())


def test_attempt_nobody_ended_frees_its_slot_at_its_time_and_stays_reserved():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a", left_ms=5000))
    program_ledgers.expire(program_ledger, 5999)
    assert program_ledger.runners["r"].active == 1
    program_ledgers.expire(program_ledger, 6000)
    assert program_ledger.runners["r"].active == 0 and program_ledger.accounts["p"].reserved == 10
    assert act(program_ledger, 7000, EndAttempt("a", 4, 1000)) == AttemptEnded()
    assert program_ledger.runners["r"].active == 0
    assert (program_ledger.accounts["p"].spent, program_ledger.accounts["p"].reserved) == (4, 0)


def test_branches_share_the_chain_and_the_longest_keeps_it():
    program_ledger = ProgramLedger()
    for name, previous, keep_ms in (("a", "", 1000), ("b", "a", 9000), ("c", "a", 2000)):
        act(program_ledger, 0, begin(name, previous))
        act(program_ledger, 0, EndAttempt(name, 1, keep_ms))
    program_ledgers.expire(program_ledger, 2000)
    assert set(program_ledger.turns) == {"a", "b"}
    program_ledgers.expire(program_ledger, 8999)
    assert act(program_ledger, 8999, begin("d", "b")) == AttemptBegun("r", ("a", "b"))
    act(program_ledger, 8999, AbortAttempt("d"))
    held_ms = program_ledger.turns["a"].kept_until_ms
    assert held_ms >= 9000 + CHAIN_RETENTION_MARGIN_MS and program_ledger.turns["b"].kept_until_ms == held_ms
    program_ledgers.expire(program_ledger, held_ms)
    assert program_ledger.turns == {} and act(program_ledger, held_ms, begin("e", "b")) == NoTurn("b")


def test_end_handed_in_twice_answers_alike():
    program_ledger = ProgramLedger()
    act(program_ledger, 0, begin("a"))
    assert [act(program_ledger, 0, EndAttempt("a", 3)) for _ in range(2)] == [AttemptEnded(), AttemptEnded()]
    assert program_ledger.accounts["p"].spent == 3
