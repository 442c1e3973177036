"""Orders of runners, as the leader decides them from the demand that agents report (see `scaling_policy`)."""

from msgspec import Struct

from frostpost.daemon.structured_log import log_event
from frostpost.program_ledger.task_leases import capacity_subject
from frostpost.program_ledger.task_messages import SCALING, SetCapacity
from frostpost.virtual_synchrony.task_messages import ZoneCapacity

from . import demand_history
from .demand_history import OrderedCount, ServiceHistory
from .scaling_policy import LIST_DELAY_MS, ServiceView, ZoneRunners, calm_period_ms, plan_capacity

SERVING_ROLE = "edge"
# Share of the serving agents that must report before runners are removed.
COMPLETE_RATIO = 0.95
# An agent without a lease for less than this may be cut off, with its clients: their demand is unknown, not gone.
ABSENCE_MS = 60000
# The number that takes a subject out of the ledger.
WITHDRAWN = -1


def capacity_orders(ctx, sessions, now_ms):
    """Return the SetCapacity operations that are to be submitted now; called at each round of usage collection."""
    state = sessions.capacity
    if state.routing_from_body is None or SCALING not in sessions.settings.platform_tasks:
        return ()
    reset_if_new_leader(state, ctx.core.synchrony.installed_ms)
    program_ledger = ctx.core.ledger.program_ledger
    read_scaled_services(state, program_ledger)
    orders = withdrawals(state, program_ledger.tasks, now_ms)
    for name, service in state.scaled.items():
        history = state.services.setdefault(name, ServiceHistory())
        update_history(history, sessions, name, service, now_ms)
        view = service_view(history, sessions, program_ledger.tasks, service, now_ms)
        if not demand_history.is_submitting(history.submitted_ms, now_ms):
            orders += service_orders(history, name, view, now_ms)
    return tuple(orders)


def reset_if_new_leader(state, installed_ms):
    """Forget what was known in an earlier configuration, in which another replica may have led."""
    if state.leader_since_ms != installed_ms:
        state.leader_since_ms, state.services = installed_ms, {}


def read_scaled_services(state, program_ledger):
    """Read the services whose number of runners is ordered, once for each version of the routing."""
    if state.services_version == program_ledger.routing_version:
        return
    services = state.routing_from_body(program_ledger.routing_body).services
    state.services_version = program_ledger.routing_version
    state.scaled = {name: service for name, service in sorted(services.items()) if service.scaling is not None}
    state.services = {name: history for name, history in state.services.items() if name in state.scaled}


def withdrawals(state, tasks, now_ms):
    """Operations that withdraw the orders for services that are gone or not scaled any more."""
    if demand_history.is_submitting(state.withdrawn_ms, now_ms):
        return []
    withdrawn = [
        SetCapacity(capacity.service, capacity.zone, WITHDRAWN)
        for capacity in tasks.capacities.values()
        if capacity.service not in state.scaled
    ]
    state.withdrawn_ms = now_ms if withdrawn else None
    return withdrawn


def update_history(history, sessions, name, service, now_ms):
    """Take over the agents' last reports and record the present demand."""
    for agent_name, report in sessions.usage.demand.items():
        for demand in report.services:
            if demand.service == name:
                demand_history.record_report(history, agent_name, demand, report.received_ms)
    demand_history.remove_old_samples(history, now_ms)
    waiting = sum(entry.op.pool == name for entry in sessions.admission.queued.values())
    is_complete = reports_are_complete(history, sessions, now_ms)
    period_ms = calm_period_ms(service.scaling.boot_ms)
    demand_history.record_total(history, now_ms, waiting, is_complete, period_ms)


def reports_are_complete(history, sessions, now_ms):
    """Whether the demand of nearly all serving agents is known, of which some may be cut off."""
    serving = {
        name
        for name, session in sessions.agents.items()
        if session.role == SERVING_ROLE and now_ms - session.until_ms < ABSENCE_MS
    }
    reporting = serving & demand_history.fresh_samples(history, now_ms).keys()
    return bool(serving) and len(reporting) >= COMPLETE_RATIO * len(serving)


class ListedRunners(Struct, frozen=True):
    """A service's runners by zone in the newest reading of the list that an agent reported, and when it was read."""

    zones: dict[str, ZoneCapacity] = {}
    read_ms: int | None = None


def newest_listing(sessions, name):
    """The newest reading of the list as to a service's runners."""
    newest = ListedRunners()
    for report in sessions.usage.demand.values():
        for demand in report.services:
            read_ms = report.received_ms - demand.list_age_ms
            if (
                demand.service == name
                and demand.list_age_ms >= 0
                and (newest.read_ms is None or read_ms > newest.read_ms)
            ):
                newest = ListedRunners({capacity.zone: capacity for capacity in demand.zones}, read_ms)
    return newest


def demand_by_zone(history, sessions, now_ms):
    """Busy slots that the agents of each zone cause."""
    by_zone = {}
    for name, sample in demand_history.fresh_samples(history, now_ms).items():
        session = sessions.agents.get(name)
        if session is not None:
            by_zone[session.zone] = by_zone.get(session.zone, 0.0) + sample.busy_slots
    return by_zone


def service_view(history, sessions, tasks, service, now_ms):
    """The view of a service that the policy takes."""
    listing, demand = newest_listing(sessions, service.name), demand_by_zone(history, sessions, now_ms)
    ordered = {
        c.zone: OrderedCount(c.desired, c.reported) for c in tasks.capacities.values() if c.service == service.name
    }
    demand_history.record_ordered(history, ordered, now_ms)
    is_recent = listing.read_ms is not None and now_ms - listing.read_ms <= LIST_DELAY_MS
    bounds = service.scaling
    return ServiceView(
        bounds.min_count,
        bounds.max_count,
        bounds.boot_ms,
        slots_per_runner(service, listing.zones),
        zone_views(listing.zones, ordered, demand),
        demand_history.sustained_slots(history, now_ms),
        demand_history.peak_slots(history, now_ms, calm_period_ms(bounds.boot_ms)),
        now_ms - history.ordered_since_ms,
        is_recent and all(count.reported for count in ordered.values()),
    )


def zone_views(listed, ordered, demand):
    """The view of each zone in which a service runs or was ordered, sorted, as a tuple of ZoneRunners."""
    views = []
    for zone in sorted(listed.keys() | ordered.keys()):
        capacity = listed.get(zone, ZoneCapacity(zone, 0, 0))
        target = ordered[zone].desired if zone in ordered else None
        views.append(ZoneRunners(zone, target, capacity.runners, capacity.draining, demand.get(zone, 0.0)))
    return tuple(views)


def slots_per_runner(service, listed):
    """The mean number of slots of a listed runner, or what the configuration says."""
    runners = sum(capacity.runners for capacity in listed.values())
    slots = sum(capacity.slots for capacity in listed.values())
    return slots // runners if slots >= runners > 0 else service.slots


def service_orders(history, name, view, now_ms):
    """The operations for the orders that the policy gives, logged with what they follow from."""
    orders = []
    for order in plan_capacity(view):
        zone = next(z for z in view.zones if z.zone == order.zone)
        log_event(
            "scaling_ordered",
            subject=capacity_subject(name, order.zone),
            desired=order.desired,
            ordered=zone.ordered,
            listed=zone.listed,
            sustained_slots=view.recent_slots,
            peak_slots=view.peak_slots,
            slots_per_runner=view.slots_per_runner,
        )
        orders.append(SetCapacity(name, order.zone, order.desired))
    history.submitted_ms = now_ms if orders else None
    return orders
