"""Where the model checker stands in for parts of the product, and the safety rules that it can switch off.

Only what isn't explored is stood in for: elections of duty holders (they add entries and no rule of their own), and,
in the untimed mode, the failure detector, in whose place any member may propose any set of members at any moment.
"""

from contextlib import ExitStack, contextmanager

from frostpost.daemon import core as cores
from frostpost.ledger import apply as applying
from frostpost.virtual_synchrony import membership

from .explore_plants import PLANTS
from .explore_state import clone
from .plants import planted

APPLY = applying.apply


def apply_to_copy(ledger, entry):
    """Ledgers are shared between worlds, so an entry is applied to a copy."""
    return APPLY(clone(ledger), entry)


def no_ballots(core):
    """No duty is voted on."""
    return []


def no_detector(synchrony, out):
    """Proposals are moves of their own."""


SHARED = [(cores, "apply", apply_to_copy), (cores, "ballots", no_ballots)]
STAND_INS = {False: [*SHARED, (membership, "seek", no_detector)], True: SHARED}


@contextmanager
def exploring(scenario, plant=""):
    """Within it, steps are explored, with one safety rule switched off if `plant` names one."""
    with ExitStack() as stack:
        stack.enter_context(planted(scenario.timed, STAND_INS))
        stack.enter_context(planted(plant, PLANTS))
        yield
