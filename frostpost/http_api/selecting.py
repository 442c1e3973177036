"""The runners that a turn may go to, best first, and what is remembered of their failures."""

from frostpost.daemon.context import clock_ms
from frostpost.ledger.results import BudgetSpent, NoRunner, StaleConfig, TurnOpen
from frostpost.placement.judge import Question, Status, rank

from . import faults


def status_of(ctx, name):
    """Return what is known of a runner's health."""
    return ctx.statuses.setdefault(name, Status())


def faulted(ctx, name):
    """Record a failure of a runner."""
    status = status_of(ctx, name)
    status.fault_ms, status.faults = clock_ms(ctx), status.faults + 1


def select(ctx, call, chain, tried):
    """Return the runners for a call, best first."""
    question = Question(
        call.lane.pools,
        ctx.settings.cell,
        chain,
        call.id,
        clock_ms(ctx),
        frozenset(tried),
        frozenset(ctx.core.ledger.leaving),
    )
    runners = ctx.core.ledger.runners.values()
    return rank(question, runners, ctx.statuses, ctx.settings.weights)


def meaning(verdict):
    """Return the error that a refused reservation means."""
    match verdict:
        case NoRunner():
            return faults.RunnersFull()
        case BudgetSpent(budget, spent):
            return faults.BudgetGone(budget, spent)
        case TurnOpen():
            return faults.TurnRunning()
        case StaleConfig():
            return faults.ConfigChanging()
        case _:
            return faults.Internal()
