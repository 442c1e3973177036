"""Where the model checker stands in for parts of the product, and the safety rules that it can switch off.

Only what isn't explored is stood in for: elections of duty holders (they add entries and no rule of their own), and,
in the untimed mode, the failure detector, in whose place any member may propose any set of members at any moment.
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

APPLY = applying.apply
TAKE, LOAD = snapshot_state.encode_snapshot, snapshot_state.decode_snapshot


def apply_to_copy(ledger, entry):
    """Ledgers are shared between worlds, so an entry is applied to a copy."""
    return APPLY(clone(ledger), entry)


def no_ballots(core):
    """No duty is voted on."""
    return []


def no_detector(synchrony, out):
    """Proposals are moves of their own."""


def take_at_once(ledger, slice_records):
    """A snapshot is taken in one slice, since work under way can't be copied with its world."""
    return (yield from finished(TAKE(ledger, slice_records)))


def load_at_once(received):
    """A snapshot is loaded in one slice."""
    return (yield from finished(LOAD(received)))


def finished(work):
    """Work without pauses."""
    yield from ()
    return snapshots.run_to_completion(work)


SHARED = [
    (cores, "apply", apply_to_copy),
    (cores, "pending_ballots", no_ballots),
    (snapshotting, "encode_snapshot", take_at_once),
    (snapshotting, "decode_snapshot", load_at_once),
]
STAND_INS = {False: [*SHARED, (membership, "propose_if_due", no_detector)], True: SHARED}


@contextmanager
def exploring(scenario, plant=""):
    """Within it, steps are explored, with one safety rule switched off if `plant` names one."""
    with ExitStack() as stack:
        stack.enter_context(planted(scenario.timed, STAND_INS))
        stack.enter_context(planted(plant, PLANTS))
        yield
