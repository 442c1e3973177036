"""Selection of runners for a call, and the record of their failures."""

from frostpost.daemon.context import clock_ms
from frostpost.ledger.results import BudgetSpent, NoRunner, StaleConfig, TurnOpen
from frostpost.placement.ranking import PlacementRequest, RunnerHealth, rank

from . import errors


def health_of(ctx, name):
    """Return the health record of a runner; created on first use."""
    return ctx.runner_health.setdefault(name, RunnerHealth())


def record_failure(ctx, name):
    """Record a failed attempt at a runner."""
    health = health_of(ctx, name)
    health.failed_ms, health.failures = clock_ms(ctx), health.failures + 1


def rank_runners(ctx, call, prefix_digests, tried):
    """Return the eligible runners for a call that are not in `tried`, best first."""
    placement_request = PlacementRequest(
        call.route.pools,
        ctx.settings.zone,
        prefix_digests,
        call.id,
        clock_ms(ctx),
        frozenset(tried),
        frozenset(ctx.core.ledger.leaving),
    )
    runners = ctx.core.ledger.runners.values()
    return rank(placement_request, runners, ctx.runner_health, ctx.settings.weights)


def reservation_error(result):
    """Return the error for a reservation that the ledger refused."""
    match result:
        case NoRunner():
            return errors.RunnersFull()
        case BudgetSpent(budget, spent):
            return errors.BudgetGone(budget, spent)
        case TurnOpen():
            return errors.TurnRunning()
        case StaleConfig():
            return errors.ConfigChanging()
        case _:
            return errors.Internal()
