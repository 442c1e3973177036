"""Measurement of the demand on services at this agent: the time integral of their requests at runners and in the queue.

Requests that wait for the ledger are not counted here: of those, the leader knows which wait for a slot.
"""

from msgspec import Struct

from frostpost.cluster.agent_context import now_ms
from frostpost.cluster.list_reading import age_ms
from frostpost.virtual_synchrony.task_messages import ServiceDemand, ZoneCapacity


class DemandMeter(Struct):
    """The integral of a service's active requests until changed_ms, on this daemon's clock."""

    active: int = 0
    busy_ms: int = 0
    changed_ms: int = 0


def advance_meter(agent, service_name, added):
    """Bring the meter of a service up to now and change its active requests by `added`. Returns the meter."""
    now, meter = now_ms(agent), agent.demand_meters.get(service_name)
    if meter is None:
        meter = agent.demand_meters[service_name] = DemandMeter(changed_ms=now)
    meter.busy_ms += meter.active * (now - meter.changed_ms)
    meter.changed_ms = now
    meter.active += added
    return meter


def on_started(agent, service_name):
    """Count a request that is sent to a runner or begins to wait for one."""
    advance_meter(agent, service_name, 1)


def on_ended(agent, service_name):
    """Stop counting a request."""
    advance_meter(agent, service_name, -1)


def zone_capacities(agent, service_name):
    """Return the runners of a service by zone, sorted, as a tuple of ZoneCapacity."""
    by_zone = {}
    for runner in agent.runners.values():
        if runner.service == service_name:
            by_zone.setdefault(runner.zone, []).append(runner)
    return tuple(zone_capacity(zone, by_zone[zone]) for zone in sorted(by_zone))


def zone_capacity(zone, runners):
    """Return the ZoneCapacity of the runners of one zone."""
    serving = [runner for runner in runners if not runner.draining]
    return ZoneCapacity(zone, len(serving), sum(r.slots for r in serving), len(runners) - len(serving))


def demand_report(agent):
    """Return the demand on each service whose number of runners is ordered, as a tuple of ServiceDemand."""
    if agent.routing is None:
        return ()
    scaled = sorted(name for name, service in agent.routing.services.items() if service.scaling is not None)
    return tuple(service_demand(agent, name) for name in scaled)


def service_demand(agent, service_name):
    """Return the demand on one service until now."""
    meter, now = advance_meter(agent, service_name, 0), now_ms(agent)
    return ServiceDemand(
        service_name,
        meter.busy_ms,
        now,
        zone_capacities(agent, service_name),
        age_ms(agent.runner_list.last, now),
    )
