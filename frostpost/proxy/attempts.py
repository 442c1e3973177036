"""How many runners one try of a client may be offered to, and how many of them may begin to run it.

A route's `attempts` bounds the runners that may run one try. A runner that promises not to have run it does not count
toward that bound, so the try may be offered to another one; the offers as a whole are bounded too.
"""

from msgspec import Struct

from .outcomes import NotRun, NotSent

LEAST_OFFERS_REPEATABLE = 2
SPARE_PICKS = 2


class Attempts(Struct):
    """The runners that one try was handed to so far.

    most_runs: how many runners may begin to run it. most_offers: how many may be sent it, refusals included.
    picked: ids of the runners chosen, those that it never reached included, in order.
    """

    most_runs: int
    most_offers: int
    runs: int = 0
    offers: int = 0
    picked: list[str] = []


def attempts_for(route, repeatable):
    """Attempts of a new try: what is not repeatable runs at most once, whatever the route allows."""
    allowed = max(route.attempts, 1)
    if repeatable:
        return Attempts(allowed, max(allowed, LEAST_OFFERS_REPEATABLE))
    return Attempts(1, allowed)


def may_offer(attempts):
    """Whether the try may be handed to one more runner."""
    if attempts.runs >= attempts.most_runs or attempts.offers >= attempts.most_offers:
        return False
    return len(attempts.picked) < 2 * attempts.most_offers + SPARE_PICKS


def record(attempts, outcome):
    """Count how a send ended; after anything but a promise the runner may have begun to run it."""
    if isinstance(outcome, NotSent):
        return
    attempts.offers += 1
    if not isinstance(outcome, NotRun):
        attempts.runs += 1
