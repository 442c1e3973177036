"""Collection of the agents' usage at the leader, which closes each usage window once its counts have come in.

The counts are soft state. They outlive an agent, so what it had reported before it died is included; a new leader waits
until the agents have sent theirs again. Closing a window fixes its counts in the ledger (`program_ledger.task_leases`).
"""

from msgspec import Struct

from frostpost.daemon.event_loop import submit
from frostpost.daemon.structured_log import log_event
from frostpost.program_ledger.task_messages import CloseUsageWindow
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.task_messages import ServiceDemand

from .usage_reports import MAX_WINDOWS, tenant_requests

# Share of the time until a window's report is due after which the window is closed; the rest is for the report.
CLOSE_RATIO = 0.35
SUBMIT_TIMEOUT_MS = 5000


class AgentDemand(Struct, frozen=True):
    """The last demand that an agent reported, and when, on the leader's clock."""

    received_ms: int
    services: tuple[ServiceDemand, ...]


class WindowCounts(Struct):
    """Requests that began in a window, by process of an agent and tenant, and their sums by tenant."""

    by_process: dict[Member, dict[str, int]] = {}
    totals: dict[str, int] = {}


class UsageCollection(Struct):
    """counts: by window. demand: by name of the agent.

    is_submitting: whether an operation to close a window is pending.
    """

    counts: dict[int, WindowCounts] = {}
    demand: dict[str, AgentDemand] = {}
    is_submitting: bool = False


def merge_report(collection, member, message, closed, now_ms):
    """Merge an agent's report of usage and demand."""
    for usage in message.windows:
        if usage.window > closed:
            merge_counts(collection, member, usage)
    if message.demand:
        collection.demand[member.name] = AgentDemand(now_ms, message.demand)


def merge_counts(collection, member, usage):
    """Take over the greater of each count; a report that was overtaken by a later one changes nothing."""
    window = collection.counts.get(usage.window)
    if window is None:
        window = collection.counts[usage.window] = WindowCounts()
    counts, totals = window.by_process.setdefault(member, {}), window.totals
    for reported in usage.counts:
        increase = reported.requests - counts.get(reported.tenant, 0)
        if increase > 0:
            counts[reported.tenant] = reported.requests
            totals[reported.tenant] = totals.get(reported.tenant, 0) + increase


def window_totals(collection, window):
    """The counts of a window, summed over all agents."""
    counts = collection.counts.get(window)
    return tenant_requests(counts.totals) if counts is not None else ()


def next_window(collection, closed, current):
    """The window to be closed next, or None; the first one ever is the first that any agent reported."""
    if closed > 0:
        return max(closed + 1, current - MAX_WINDOWS)
    return min(collection.counts, default=None)


def close_due_window(ctx, collection, settings, fleet_ms):
    """Submit the counts of the next window once its end lies far enough back; one at a time."""
    closed = ctx.core.ledger.program_ledger.tasks.closed_window
    for window in [w for w in collection.counts if w <= closed]:
        del collection.counts[window]
    closable_ms = fleet_ms - int(CLOSE_RATIO * settings.usage_delay_ms)
    window = next_window(collection, closed, fleet_ms // settings.report_window_ms)
    if collection.is_submitting or window is None or (window + 1) * settings.report_window_ms > closable_ms:
        return
    collection.is_submitting = True
    counts = window_totals(collection, window)
    log_event("usage_closed", window=window, tenants=len(counts), requests=sum(c.requests for c in counts))

    def on_decided(result):
        collection.is_submitting = False

    submit(ctx, CloseUsageWindow(window, counts), SUBMIT_TIMEOUT_MS).addBoth(on_decided)
