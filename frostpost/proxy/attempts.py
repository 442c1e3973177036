"""Bounds on how many runners a request may be sent to and how many of them may start executing it.

A route's `attempts` bounds the number of executions. A runner that reports that it did not execute the request does not
count as an execution, so the request may be sent to another runner; the total number of sends is bounded as well.
"""

from msgspec import Struct

from .outcomes import NotRun, NotSent

MIN_OFFERS_REPEATABLE = 2
EXTRA_PICKS = 2


class Attempts(Struct):
    """The sends made so far for one request.

    max_runs: bound on the runners that may start executing it. max_offers: bound on the runners it may be sent to,
    including those that refuse it. picked: ids of the selected runners in order, including those never reached.
    """

    max_runs: int
    max_offers: int
    runs: int = 0
    offers: int = 0
    picked: list[str] = []


def attempts_for(route, repeatable):
    """Create the counters for a request; one that is not repeatable is executed at most once on any route."""
    max_runs = max(route.attempts, 1)
    if repeatable:
        return Attempts(max_runs, max(max_runs, MIN_OFFERS_REPEATABLE))
    return Attempts(1, max_runs)


def may_offer(attempts):
    """Return whether the request may be sent to one more runner."""
    if attempts.runs >= attempts.max_runs or attempts.offers >= attempts.max_offers:
        return False
    return len(attempts.picked) < 2 * attempts.max_offers + EXTRA_PICKS


def record_outcome(attempts, outcome):
    """Count a finished send; any outcome but NotSent and NotRun may have been executed."""
    if isinstance(outcome, NotSent):
        return
    attempts.offers += 1
    if not isinstance(outcome, NotRun):
        attempts.runs += 1
