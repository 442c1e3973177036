"""Changes of the routing that were taken are known again, by number and digest, for their time."""

from frostpost.ledger.apply import decode_state, encode
from frostpost.ledger.state import Ledger
from frostpost.program_ledger import accepted_changes
from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.messages import (
    ReadRouting,
    RoutingConflict,
    RoutingForgotten,
    RoutingSet,
    RoutingState,
    SetRouting,
)
from frostpost.program_ledger.state import ProgramLedger

KEEP_MS = 600_000
LEAST, MOST = accepted_changes.MIN_RETAINED_CHANGES, accepted_changes.MAX_RETAINED_CHANGES


def digest(number):
    return number.to_bytes(16, "big")


def change(number, base=None, said=None):
    """Change `number`, on top of the one before it."""
    return SetRouting(number - 1 if base is None else base, number, b"body", said or digest(number), KEEP_MS)


def order(ledger, op, now_ms=0):
    return apply_operation(ledger, now_ms, (), (), op)


def taken_up_to(last, now_ms=lambda number: 0, ledger=None):
    """A ledger that took changes 1 to `last`."""
    ledger = ledger or ProgramLedger()
    for number in range(ledger.routing_version + 1, last + 1):
        assert order(ledger, change(number), now_ms(number)) == RoutingSet(number)
    return ledger


def test_every_change_of_a_long_day_is_known_again_and_nothing_else():
    ledger = taken_up_to(LEAST)
    for number in range(1, LEAST + 1):
        assert order(ledger, change(number)) == RoutingSet(number)
        assert order(ledger, ReadRouting(number, digest(number))) == RoutingState(LEAST, b"body", True)
        assert order(ledger, change(number, said=b"other")) == RoutingConflict(LEAST)
    assert ledger.routing_version == LEAST and len(ledger.taken) == LEAST


def test_of_changes_on_one_base_one_is_taken():
    ledger = taken_up_to(3)
    assert order(ledger, change(7, 3)) == RoutingSet(7)
    assert order(ledger, change(9, 3)) == order(ledger, change(7, 3, b"other")) == RoutingConflict(7)
    assert order(ledger, change(5, 7)) == RoutingConflict(7)


def test_within_its_time_a_change_is_known_however_many_came_after():
    ledger = taken_up_to(MOST, lambda number: number)
    assert len(ledger.taken) == MOST and ledger.forgotten_version == 0
    assert order(ledger, change(1), KEEP_MS) == RoutingSet(1)


def test_a_change_past_its_time_is_forgotten_once_enough_newer_ones_were_taken():
    ledger = taken_up_to(LEAST + 10)
    assert ledger.forgotten_version == 0
    taken_up_to(LEAST + 20, lambda number: KEEP_MS, ledger)
    assert ledger.forgotten_version == 20 and len(ledger.taken) == LEAST


def test_what_may_be_forgotten_is_neither_acknowledged_nor_refused():
    ledger = taken_up_to(MOST + 5)
    assert len(ledger.taken) == MOST and ledger.forgotten_version == 5
    for said in (None, b"other"):
        assert order(ledger, change(5, said=said)) == RoutingForgotten(5)
        held = order(ledger, ReadRouting(5, said or digest(5)))
        assert (held.taken, held.uncertain) == (False, True)
    assert order(ledger, change(6)) == RoutingSet(6)
    assert order(ledger, change(6, said=b"other")) == RoutingConflict(MOST + 5)


def test_memory_of_changes_outlasts_a_snapshot_and_stays_small():
    ledger = taken_up_to(500)
    whole = Ledger(program_ledger=ledger)
    assert decode_state(encode(whole)) == whole
    small = len(encode(whole)) - len(encode(Ledger()))
    assert small < 500 * 40
    assert len(encode(Ledger(program_ledger=taken_up_to(MOST + 500)))) < MOST * 40
