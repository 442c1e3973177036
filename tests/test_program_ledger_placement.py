"""Placement of attempts on runners by free slots, cached prompt parts and penalties."""

import pytest

from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    BeginAttempt,
    Candidate,
    EndAttempt,
    NoCapacity,
    ReassignAttempt,
)
from frostpost.program_ledger.state import ProgramLedger

TWO_RUNNERS = (Candidate("r0", 4), Candidate("r1", 4))
PARTS = (("system", 5000), ("tools", 4000), ("first", 3000))


def begin(program_ledger, name, candidates=TWO_RUNNERS, parts=(), previous="", now_ms=0, cache=0, prompt_tokens=0):
    op = BeginAttempt(
        name, name, 0, 1, previous, 5000, candidates, tuple(parts), prompt_tokens=prompt_tokens, cache_tokens=cache
    )
    result = program_ledgers.apply_operation(program_ledger, now_ms, (), (), op)
    return result.runner if isinstance(result, AttemptBegun) else result


def test_attempts_without_cached_parts_are_spread_by_active_attempts():
    program_ledger = ProgramLedger()
    assert [begin(program_ledger, f"a{n}") for n in range(6)] == ["r0", "r1"] * 3


def test_attempts_are_spread_by_the_share_of_slots_in_use():
    program_ledger, uneven_runners = ProgramLedger(), (Candidate("small", 2), Candidate("large", 6))
    assert sorted(begin(program_ledger, f"a{n}", uneven_runners) for n in range(8)) == ["large"] * 6 + ["small"] * 2


def test_runner_with_the_longest_cached_prefix_is_preferred():
    program_ledger = ProgramLedger()
    assert begin(program_ledger, "x", TWO_RUNNERS[1:], PARTS[:1]) == "r1"
    assert begin(program_ledger, "y", TWO_RUNNERS[:1], PARTS) == "r0"
    for name in "xy":
        program_ledgers.apply_operation(program_ledger, 0, (), (), AbortAttempt(name))
    assert begin(program_ledger, "z", TWO_RUNNERS[::-1], PARTS) == "r0"


def test_cached_parts_after_a_missing_one_do_not_count():
    program_ledger = ProgramLedger()
    begin(program_ledger, "x", TWO_RUNNERS[1:], PARTS)
    program_ledgers.apply_operation(program_ledger, 0, (), (), AbortAttempt("x"))
    assert begin(program_ledger, "y", TWO_RUNNERS, (("other", 1), *PARTS)) == "r0"


def test_runner_of_the_previous_turn_is_preferred_until_it_costs_more():
    program_ledger = ProgramLedger()
    assert begin(program_ledger, "a", TWO_RUNNERS[1:], prompt_tokens=7000) == "r1"
    program_ledgers.apply_operation(program_ledger, 0, (), (), EndAttempt("a", 500, 60000))
    assert [begin(program_ledger, f"b{n}", previous="a") for n in range(3)] == ["r1", "r1", "r0"]


@pytest.mark.parametrize("slots", [1, 3])
def test_active_attempts_never_exceed_slots_despite_a_cached_prefix(slots):
    program_ledger, one_runner = ProgramLedger(), (Candidate("r0", slots),)
    assert [begin(program_ledger, f"a{n}", one_runner, PARTS) for n in range(slots)] == ["r0"] * slots
    assert begin(program_ledger, "more", one_runner, PARTS) == NoCapacity(20)
    assert "more" not in program_ledger.attempts and "more" not in program_ledger.accounts
    program_ledgers.apply_operation(program_ledger, 0, (), (), AbortAttempt("a0"))
    assert begin(program_ledger, "more", one_runner, PARTS) == "r0"


def test_penalty_outweighs_cached_parts():
    program_ledger = ProgramLedger()
    begin(program_ledger, "x", TWO_RUNNERS[:1], PARTS)
    assert begin(program_ledger, "y", (Candidate("r0", 4, 20000), TWO_RUNNERS[1]), PARTS) == "r1"


def test_least_recently_used_parts_are_evicted_above_the_cache_size():
    program_ledger = ProgramLedger()
    for number, part in enumerate("abcab"):
        begin(program_ledger, f"x{number}", (Candidate("r0", 99),), [(part, 100)], cache=300)
    begin(program_ledger, "d", (Candidate("r0", 99),), [("d", 150)], cache=300)
    use = program_ledger.runners["r0"]
    assert list(use.parts.items()) == [("b", 100), ("d", 150)] and use.tokens == 250


def test_part_above_the_cache_size_is_kept_alone_and_repeated_parts_count_once():
    program_ledger = ProgramLedger()
    for number in range(3):
        begin(program_ledger, f"x{number}", (Candidate("r0", 9),), [("a", 10), ("big", 1000)], cache=300)
    use = program_ledger.runners["r0"]
    assert use.parts == {"big": 1000} and use.tokens == 1000


def test_reassignment_releases_the_old_runner_and_returns_the_new_one():
    program_ledger = ProgramLedger()
    assert begin(program_ledger, "a") == "r0"
    assert program_ledgers.apply_operation(
        program_ledger, 0, (), (), ReassignAttempt("a", TWO_RUNNERS[1:])
    ) == AttemptBegun("r1", ())
    assert {name: use.active for name, use in program_ledger.runners.items()} == {"r0": 0, "r1": 1}


def test_reassignment_without_capacity_leaves_the_attempt_open_without_a_runner():
    program_ledger, one_runner = ProgramLedger(), (Candidate("r1", 1),)
    begin(program_ledger, "full", one_runner)
    begin(program_ledger, "a", TWO_RUNNERS[:1])
    assert program_ledgers.apply_operation(program_ledger, 0, (), (), ReassignAttempt("a", one_runner)) == NoCapacity(
        20
    )
    assert program_ledger.runners["r0"].active == 0 and "a" in program_ledger.attempts
    program_ledgers.apply_operation(program_ledger, 0, (), (), AbortAttempt("a"))
    assert {name: use.active for name, use in program_ledger.runners.items()} == {"r0": 0, "r1": 1}


def test_idle_runner_expires_and_a_busy_one_does_not():
    program_ledger = ProgramLedger()
    begin(program_ledger, "a", (Candidate("idle", 1),), PARTS)
    program_ledgers.apply_operation(program_ledger, 0, (), (), AbortAttempt("a"))
    op = BeginAttempt("b", "b", 0, 1, "", 900000, (Candidate("busy", 1),))
    program_ledgers.apply_operation(program_ledger, 0, (), (), op)
    program_ledgers.expire(program_ledger, 60000)
    assert set(program_ledger.runners) == {"idle", "busy"}
    program_ledgers.expire(program_ledger, 60001)
    assert set(program_ledger.runners) == {"busy"}
