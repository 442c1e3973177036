"""Accepted changes of the routing are recognized by version and digest until they are evicted."""

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

RETENTION_MS = 600_000
MIN_CHANGES, MAX_CHANGES = accepted_changes.MIN_RETAINED_CHANGES, accepted_changes.MAX_RETAINED_CHANGES


def digest(number):
    return number.to_bytes(16, "big")


def change(number, base=None, other_digest=None):
    """Return the change that makes version `number`, by default from the version before it."""
    return SetRouting(
        number - 1 if base is None else base, number, b"body", other_digest or digest(number), RETENTION_MS
    )


def apply(ledger, op, now_ms=0):
    return apply_operation(ledger, now_ms, (), (), op)


def ledger_with_changes(last, now_ms=lambda number: 0, ledger=None):
    """Return a ledger that accepted the changes up to version `last`."""
    ledger = ledger or ProgramLedger()
    for number in range(ledger.routing_version + 1, last + 1):
        assert apply(ledger, change(number), now_ms(number)) == RoutingSet(number)
    return ledger


def test_only_accepted_changes_are_acknowledged_again():
    ledger = ledger_with_changes(MIN_CHANGES)
    for number in range(1, MIN_CHANGES + 1):
        assert apply(ledger, change(number)) == RoutingSet(number)
        assert apply(ledger, ReadRouting(number, digest(number))) == RoutingState(MIN_CHANGES, b"body", True)
        assert apply(ledger, change(number, other_digest=b"other")) == RoutingConflict(MIN_CHANGES)
    assert ledger.routing_version == MIN_CHANGES and len(ledger.taken) == MIN_CHANGES


def test_one_of_the_changes_from_the_same_base_is_accepted():
    ledger = ledger_with_changes(3)
    assert apply(ledger, change(7, 3)) == RoutingSet(7)
    assert apply(ledger, change(9, 3)) == apply(ledger, change(7, 3, b"other")) == RoutingConflict(7)
    assert apply(ledger, change(5, 7)) == RoutingConflict(7)


def test_change_is_recognized_throughout_its_retention():
    ledger = ledger_with_changes(MAX_CHANGES, lambda number: number)
    assert len(ledger.taken) == MAX_CHANGES and ledger.forgotten_version == 0
    assert apply(ledger, change(1), RETENTION_MS) == RoutingSet(1)


def test_change_past_its_retention_is_evicted_once_enough_newer_ones_were_accepted():
    ledger = ledger_with_changes(MIN_CHANGES + 10)
    assert ledger.forgotten_version == 0
    ledger_with_changes(MIN_CHANGES + 20, lambda number: RETENTION_MS, ledger)
    assert ledger.forgotten_version == 20 and len(ledger.taken) == MIN_CHANGES


def test_change_that_may_have_been_evicted_is_neither_acknowledged_nor_rejected():
    ledger = ledger_with_changes(MAX_CHANGES + 5)
    assert len(ledger.taken) == MAX_CHANGES and ledger.forgotten_version == 5
    for other_digest in (None, b"other"):
        assert apply(ledger, change(5, other_digest=other_digest)) == RoutingForgotten(5)
        state = apply(ledger, ReadRouting(5, other_digest or digest(5)))
        assert (state.taken, state.uncertain) == (False, True)
    assert apply(ledger, change(6)) == RoutingSet(6)
    assert apply(ledger, change(6, other_digest=b"other")) == RoutingConflict(MAX_CHANGES + 5)


def test_accepted_changes_survive_a_snapshot_within_40_bytes_each():
    ledger = ledger_with_changes(500)
    state = Ledger(program_ledger=ledger)
    assert decode_state(encode(state)) == state
    size_bytes = len(encode(state)) - len(encode(Ledger()))
    assert size_bytes < 500 * 40
    assert len(encode(Ledger(program_ledger=ledger_with_changes(MAX_CHANGES + 500)))) < MAX_CHANGES * 40
