"""The leader's side of platform tasks: offers to agents, their reports, and the periodic closing of usage windows."""

from frostpost.daemon.context import clock_ms
from frostpost.daemon.event_loop import submit
from frostpost.ledger.operations import TASK_RULES
from frostpost.program_ledger.task_messages import USAGE
from frostpost.virtual_synchrony.task_messages import TaskFailed, UsageReply, UsageReport

from . import fleet_time, task_schedule, usage_collection
from .capacity_orders import capacity_orders
from .leadership import is_sequencer
from .usage_reports import MAX_INTERVAL_MS

COLLECT_INTERVAL_S = 0.25
SUBMIT_TIMEOUT_MS = 5000
# Agents report at once to a new leader; within this time those whose report was lost have repeated it.
NEW_LEADER_WAIT_MS = 2 * MAX_INTERVAL_MS


def takes_tasks(ctx, sessions):
    """Whether the platform wants tasks and all members know their operations."""
    return bool(sessions.settings.platform_tasks) and ctx.core.ledger.rules >= TASK_RULES


def closed_window(ctx, sessions):
    """The number up to which usage windows are closed; -1 if this leader takes no reports."""
    return ctx.core.ledger.program_ledger.tasks.closed_window if takes_tasks(ctx, sessions) else -1


def offer_tasks(ctx, sessions, endpoint, message, lease_ms, now):
    """The tasks that are offered to an agent which renews its lease now, as a tuple of TaskOffer."""
    if not message.can_run_tasks or lease_ms <= 0 or not takes_tasks(ctx, sessions):
        return ()
    return task_schedule.offers_for(sessions.tasks, ctx.core.ledger, sessions.settings, endpoint, now)


def fleet_time_ms(ctx, sessions, session, message, now):
    """Record the time of day that an agent sent, and return the fleet's.

    Returns 0 if the agent sent none, and until the agents have had time to send theirs to a new leader: the median of
    the first few may be far off.
    """
    if not message.wall_ms:
        return 0
    session.wall_offset_ms = message.wall_ms - now
    if now - ctx.core.synchrony.installed_ms < ctx.core.synchrony.bounds.lease_ms:
        return 0
    return fleet_time.leader_time_ms(sessions.fleet_clock, sessions.agents.values(), ctx.machine, now)


def on_task_message(ctx, sessions, endpoint, body):
    """Handle an agent's message about tasks or usage; a replica that doesn't lead ignores it."""
    if not is_sequencer(ctx) or not takes_tasks(ctx, sessions):
        return
    now, member = clock_ms(ctx), endpoint.member
    match body:
        case UsageReport():
            closed = closed_window(ctx, sessions)
            usage_collection.merge_report(sessions.usage, member, body, closed, now)
            ctx.links["send"](f"@{endpoint.host}:{endpoint.port}", UsageReply(body.number, closed))
        case TaskFailed():
            task_schedule.on_failure(sessions.tasks, ctx.core.ledger, member.name, body, now)


def collect(ctx, sessions):
    """Close the next usage window if it is due, and submit orders of runners; called every COLLECT_INTERVAL_S."""
    if not takes_tasks(ctx, sessions):
        return
    now = clock_ms(ctx)
    if not is_sequencer(ctx):
        sessions.usage.counts, sessions.usage.demand = {}, {}
        return
    if now - ctx.core.synchrony.installed_ms < NEW_LEADER_WAIT_MS:
        return
    if USAGE in sessions.settings.platform_tasks:
        fleet_ms = fleet_time.leader_time_ms(sessions.fleet_clock, sessions.agents.values(), ctx.machine, now)
        usage_collection.close_due_window(ctx, sessions.usage, sessions.settings, fleet_ms)
    for order in capacity_orders(ctx, sessions, now):
        submit(ctx, order, SUBMIT_TIMEOUT_MS)
