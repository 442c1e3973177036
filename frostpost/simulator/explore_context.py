"""Replaces parts of the product during an exploration, and switches off a safety rule if requested.

Only what is not explored is replaced: elections of singleton roles, which add entries but no rules, and in untimed
scenarios the failure detector, since any member may then propose any set of members at any time.
"""

from contextlib import ExitStack, contextmanager

from frostpost.daemon import core as cores
from frostpost.daemon import snapshot_state, snapshotting
from frostpost.ledger import apply as applying
from frostpost.ledger import snapshots
from frostpost.virtual_synchrony import membership

from .explore_plants import PLANTS
from .explore_state import clone
from .plants import planted

ORIGINAL_APPLY = applying.apply
ORIGINAL_ENCODE, ORIGINAL_DECODE = snapshot_state.encode_snapshot, snapshot_state.decode_snapshot


def apply_to_copy(ledger, entry):
    """Apply an entry to a copy of the ledger, since worlds share ledgers."""
    return ORIGINAL_APPLY(clone(ledger), entry)


def no_ballots(core):
    """Cast no ballots for singleton roles."""
    return []


def no_proposal(synchrony, out):
    """Propose nothing: proposals are moves of the model checker."""


def encode_in_one_slice(ledger, slice_records):
    """Encode a snapshot in one slice, since a running generator cannot be copied with its world."""
    return (yield from run_in_one_slice(ORIGINAL_ENCODE(ledger, slice_records)))


def decode_in_one_slice(received):
    """Decode a snapshot in one slice, since a running generator cannot be copied with its world."""
    return (yield from run_in_one_slice(ORIGINAL_DECODE(received)))


def run_in_one_slice(work):
    """Run a generator to completion without yielding."""
    yield from ()
    return snapshots.run_to_completion(work)


REPLACEMENTS = [
    (cores, "apply", apply_to_copy),
    (cores, "pending_ballots", no_ballots),
    (snapshotting, "encode_snapshot", encode_in_one_slice),
    (snapshotting, "decode_snapshot", decode_in_one_slice),
]
REPLACEMENTS_BY_TIMED = {False: [*REPLACEMENTS, (membership, "propose_if_due", no_proposal)], True: REPLACEMENTS}


@contextmanager
def exploring(scenario, plant=""):
    """Context manager: replace what is not explored, and switch off the safety rule that `plant` names, if any."""
    with ExitStack() as stack:
        stack.enter_context(planted(scenario.timed, REPLACEMENTS_BY_TIMED))
        stack.enter_context(planted(plant, PLANTS))
        yield
