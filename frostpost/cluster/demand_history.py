"""Demand on a service over the last seconds, from the reports of the agents: pure functions over the leader's state.

Reports are counters, so demand is the difference of two reports of one agent. It is soft state: a new leader knows no
demand before each agent has reported twice, and no calm period before it has led for one.
"""

from collections.abc import Callable

from msgspec import Struct

# A report that is older is not counted: its agent is gone, or cut off.
FRESH_MS = 3000
# Demand counts as reached if it lasted throughout this time.
SUSTAINED_MS = 2000
TOTAL_INTERVAL_MS = 1000
# Demand over a shorter time says little.
MIN_MEASURED_MS = 500
# A gap in the totals ends what they cover.
MAX_GAP_MS = 3 * TOTAL_INTERVAL_MS
RETENTION_MS = 600000
# After this time without effect, orders are submitted again.
SUBMIT_RETRY_MS = 2000


class AgentSample(Struct):
    """An agent's last report. busy_slots: demand between its last two reports; None before the second one."""

    busy_ms: int
    measured_ms: int
    received_ms: int
    busy_slots: float | None = None


class DemandTotal(Struct, frozen=True):
    """Demand of all agents at a time. is_complete: whether nearly all agents have reported."""

    at_ms: int
    busy_slots: float
    is_complete: bool


class OrderedCount(Struct, frozen=True):
    """The number of runners ordered in a zone, and whether the platform has accepted the order."""

    desired: int
    reported: bool


class ServiceHistory(Struct):
    """samples: by name of the agent. totals: oldest first. demand_since_ms: when this leader first saw any demand.

    ordered: by zone, the number ordered and whether the platform has it; unchanged since ordered_since_ms.
    submitted_ms: when orders were last submitted; None once they have taken effect.
    """

    samples: dict[str, AgentSample] = {}
    totals: list[DemandTotal] = []
    demand_since_ms: int | None = None
    ordered: dict[str, OrderedCount] = {}
    ordered_since_ms: int = 0
    submitted_ms: int | None = None


class CapacityState(Struct):
    """What the leader keeps for its orders of runners.

    services: by name. leader_since_ms: when the configuration that it belongs to was installed. routing_from_body: how
    a routing is read; None if no runners are ordered. services_version, scaled: the services of a version whose number
    of runners is ordered. withdrawn_ms: when orders were last withdrawn.
    """

    services: dict[str, ServiceHistory] = {}
    leader_since_ms: int = -1
    routing_from_body: Callable | None = None
    services_version: int = -1
    scaled: dict[str, object] = {}
    withdrawn_ms: int | None = None


def record_report(history, agent_name, demand, received_ms):
    """Take an agent's report; the last one again, or one right after it, changes nothing."""
    sample = history.samples.get(agent_name)
    if sample is not None and 0 <= demand.measured_ms - sample.measured_ms < MIN_MEASURED_MS:
        return
    has_restarted = sample is None or demand.busy_ms < sample.busy_ms or demand.measured_ms < sample.measured_ms
    busy_slots = None
    if not has_restarted:
        busy_slots = (demand.busy_ms - sample.busy_ms) / (demand.measured_ms - sample.measured_ms)
        if busy_slots > 0 and history.demand_since_ms is None:
            history.demand_since_ms = received_ms
    history.samples[agent_name] = AgentSample(demand.busy_ms, demand.measured_ms, received_ms, busy_slots)


def fresh_samples(history, now_ms):
    """The agents whose demand is known at present, with their samples."""
    return {
        name: sample
        for name, sample in history.samples.items()
        if sample.busy_slots is not None and now_ms - sample.received_ms <= FRESH_MS
    }


def record_total(history, now_ms, waiting, is_complete, period_ms):
    """Record the present demand, at most once an interval; `waiting` are requests that no agent counts.

    Totals older than period_ms are dropped, but for the last of them.
    """
    totals = history.totals
    if totals and now_ms - totals[-1].at_ms < TOTAL_INTERVAL_MS:
        return
    busy_slots = sum(sample.busy_slots for sample in fresh_samples(history, now_ms).values()) + waiting
    totals.append(DemandTotal(now_ms, busy_slots, is_complete))
    while len(totals) > 1 and now_ms - totals[1].at_ms >= period_ms:
        del totals[0]


def totals_within(history, now_ms, period_ms):
    """The totals that cover a period until now, as a list; empty if they don't."""
    covering: list[DemandTotal] = []
    later_ms = now_ms
    for total in reversed(history.totals):
        if later_ms - total.at_ms > MAX_GAP_MS:
            return []
        covering.append(total)
        if now_ms - total.at_ms >= period_ms:
            return covering
        later_ms = total.at_ms
    return []


def sustained_slots(history, now_ms):
    """The busy slots that demand has reached throughout the last seconds; None if that is not known."""
    return min((total.busy_slots for total in totals_within(history, now_ms, SUSTAINED_MS)), default=None)


def peak_slots(history, now_ms, period_ms):
    """The most busy slots within a period.

    None if nearly all agents didn't report throughout it, or if the first demand came later than it began: before that,
    low demand tells nothing.
    """
    totals = totals_within(history, now_ms, period_ms)
    if history.demand_since_ms is None or now_ms - history.demand_since_ms < period_ms:
        return None
    if not totals or not all(total.is_complete for total in totals):
        return None
    return max(total.busy_slots for total in totals)


def record_ordered(history, ordered, now_ms):
    """Take over what is ordered by zone; a change restarts the time since the last one."""
    if ordered != history.ordered:
        history.ordered, history.ordered_since_ms, history.submitted_ms = ordered, now_ms, None


def is_submitting(submitted_ms, now_ms):
    """Whether operations submitted at a time may yet take effect."""
    return submitted_ms is not None and now_ms - submitted_ms < SUBMIT_RETRY_MS


def remove_old_samples(history, now_ms):
    """Remove samples of agents that have long been gone."""
    for name in [n for n, sample in history.samples.items() if now_ms - sample.received_ms > RETENTION_MS]:
        del history.samples[name]
