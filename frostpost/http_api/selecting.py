"""The runners that a turn may go to, best first, and what is remembered of their failures."""

from frostpost.daemon.context import clock_ms
from frostpost.ledger.results import BudgetSpent, NoRunner, StaleConfig, TurnOpen
from frostpost.placement.ranking import PlacementRequest, RunnerHealth, rank

from . import errors


def health_of(ctx, name):
    """Return what is known of a runner's health."""
    return ctx.runner_health.setdefault(name, RunnerHealth())


def record_failure(ctx, name):
    """Record a failure of a runner."""
    health = health_of(ctx, name)
    health.failed_ms, health.failures = clock_ms(ctx), health.failures + 1


def select(ctx, call, chain, tried):
    """Return the runners for a call, best first."""
    question = PlacementRequest(
        call.route.pools,
        ctx.settings.zone,
        chain,
        call.id,
        clock_ms(ctx),
        frozenset(tried),
        frozenset(ctx.core.ledger.leaving),
    )
    runners = ctx.core.ledger.runners.values()
    return rank(question, runners, ctx.runner_health, ctx.settings.weights)


def meaning(result):
    """Return the error that a refused reservation means."""
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
