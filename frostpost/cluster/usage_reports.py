"""An agent's counts of the requests that began to run, by usage window and tenant, and their reports to the leader.

The counts of a window only grow. They are sent again until the leader has replied, and in full to a new leader, which
takes the greatest that it has seen. A window is dropped once the ledger has closed it.
"""

from msgspec import Struct

from frostpost.program_ledger.task_messages import SCALING, USAGE
from frostpost.virtual_synchrony.task_messages import TenantRequests, UsageReport, WindowUsage

from .agent_context import count, now_ms
from .fleet_time import agent_time_ms
from .lease_client import NEVER_MS, holds_lease, replica_addresses, session_of

MIN_INTERVAL_MS, MAX_INTERVAL_MS = 200, 1000
# What an agent counted since its last report is lost with it, which weighs more the fewer agents there are. Few agents
# therefore report more often, together at this rate.
REPORTS_PER_S = 40
MAX_WINDOWS = 720


class UsageCounter(Struct):
    """Counts by window and tenant.

    changed: windows with counts since the last report, which has `number`. sent: windows in it, until the leader has
    replied. leader: the sequencer and epoch that the last report went to. closed: as in the last lease reply.
    """

    windows: dict[int, dict[str, int]] = {}
    changed: set[int] = set()
    sent: set[int] = set()
    number: int = 0
    sent_ms: int = NEVER_MS
    leader: tuple[str, int] = ("", 0)
    closed: int = -1


def counter_of(agent):
    """Returns the agent's usage counter, created on first use."""
    if agent.usage is None:
        agent.usage = UsageCounter()
    return agent.usage


def window_at(agent, monotonic_ms):
    """The usage window of a time of this agent's monotonic clock."""
    return agent_time_ms(agent, monotonic_ms) // agent.settings.report_window_ms


def add_request(agent, tenant, started_ms):
    """Count a request of a tenant that began to run at a time of this agent's monotonic clock."""
    if USAGE not in agent.settings.platform_tasks:
        return
    counter, window = counter_of(agent), window_at(agent, started_ms)
    if window <= counter.closed:
        count(agent, "usage_late")
        return
    counts = counter.windows.setdefault(window, {})
    counts[tenant] = counts.get(tenant, 0) + 1
    counter.changed.add(window)
    while len(counter.windows) > MAX_WINDOWS:
        drop_window(counter, min(counter.windows))


def drop_window(counter, window):
    """Forget a window."""
    counter.windows.pop(window, None)
    counter.changed.discard(window)
    counter.sent.discard(window)


def on_closed(agent, closed):
    """Drop the windows that the ledger has closed; -1 if the leader takes no reports."""
    counter = counter_of(agent)
    counter.closed = closed
    for window in [w for w in counter.windows if w <= closed]:
        drop_window(counter, window)


def is_reporting(agent):
    """Whether this agent serves requests and the leader takes reports of usage."""
    settings = agent.settings
    serves = settings.front is not None and bool(settings.platform_tasks)
    return serves and counter_of(agent).closed >= 0 and holds_lease(agent)


def report_interval_ms(agent):
    """How often this agent reports."""
    return min(MAX_INTERVAL_MS, max(MIN_INTERVAL_MS, 1000 * session_of(agent).agent_count // REPORTS_PER_S))


def due_ms(agent):
    """When the next report is due, on this daemon's clock; None if there is none to send."""
    return counter_of(agent).sent_ms + report_interval_ms(agent) if is_reporting(agent) else None


def report_if_due(agent):
    """Report to the leader once an interval, and at once to a new one."""
    if not is_reporting(agent):
        return
    counter, session = counter_of(agent), session_of(agent)
    if counter.leader != (session.sequencer, session.epoch):
        counter.leader = (session.sequencer, session.epoch)
        counter.changed.update(counter.windows)
        send_report(agent)
    elif now_ms(agent) - counter.sent_ms >= report_interval_ms(agent):
        send_report(agent)


def send_last_report(agent):
    """Report what was counted since the last report, before this daemon ends."""
    if is_reporting(agent):
        send_report(agent)


def send_report(agent):
    """Send the windows that the leader may not know, and the demand on the services."""
    counter, now = counter_of(agent), now_ms(agent)
    counter.sent_ms = now
    if USAGE in agent.settings.platform_tasks and counter.closed == 0 and not counter.windows:
        open_first_window(agent, counter)
    demand = service_demand(agent)
    counter.sent |= counter.changed
    counter.changed = set()
    if not counter.sent and not demand:
        return
    counter.number += 1
    windows = tuple(WindowUsage(window, tenant_requests(counter.windows[window])) for window in sorted(counter.sent))
    address = replica_addresses(agent).get(session_of(agent).sequencer)
    if address is not None:
        agent.links["send"](address, UsageReport(counter.number, windows, demand))


def open_first_window(agent, counter):
    """Report the present window even without requests: no window has been closed yet, so this may be the first."""
    window = window_at(agent, now_ms(agent))
    counter.windows[window] = {}
    counter.changed.add(window)


def service_demand(agent):
    """The demand on the services since the last report; empty unless the platform lets daemons order runners."""
    measure = agent.attachments.get("service_demand")
    return measure() if measure is not None and SCALING in agent.settings.platform_tasks else ()


def tenant_requests(counts):
    """Counts by tenant as sent in messages, sorted by tenant."""
    return tuple(TenantRequests(tenant, requests) for tenant, requests in sorted(counts.items()))


def on_usage_reply(agent, message):
    """Handle the leader's reply: what the last report contained is known to it."""
    counter = counter_of(agent)
    on_closed(agent, message.closed)
    if message.number == counter.number:
        counter.sent = set()
