"""The policy by which the number of a service's runners changes: pure functions over the leader's view of a service.

Demand is counted in busy slots: requests in flight at runners and requests that wait for a slot. A service is scaled
out at once when demand nears its capacity, since an ordered runner serves only after its boot time, and scaled in a
step at a time after a calm period. The distance between the ratios keeps steady demand with noise from changing
anything.
"""

from math import ceil

from msgspec import Struct

# Use of the slots above which runners are added, and the use that is aimed at by adding them.
SCALE_OUT_RATIO = 0.75
TARGET_RATIO = 0.6
# Use of the slots, by the peak demand of the calm period, below which runners are removed.
SCALE_IN_RATIO = 0.5
MIN_CALM_MS = 6000
CALM_BOOTS = 1.5
# How long ordered runners may take to appear in the list, beyond their boot time, before they count as missing.
LIST_DELAY_MS = 5000


class ZoneRunners(Struct, frozen=True):
    """The runners of a service in one zone.

    ordered: the number ordered last; None if none was. listed: those in the platform's list that are not draining.
    draining: those that are. demand: busy slots that the agents of this zone cause.
    """

    zone: str
    ordered: int | None
    listed: int
    draining: int = 0
    demand: float = 0.0

    @property
    def target(self):
        """The number of runners that this zone is to have at present."""
        return self.listed if self.ordered is None else self.ordered


class ServiceView(Struct, frozen=True):
    """A service as the policy sees it. min_count and max_count bound the runners of each zone.

    recent_slots: busy slots that demand has reached throughout the last seconds; None if it is not known. peak_slots:
    the most within the calm period; None unless nearly all agents reported throughout it. unchanged_ms: time since the
    last order changed or was accepted. is_stable: whether the platform has all orders and the list is a recent one.
    """

    min_count: int
    max_count: int
    boot_ms: int
    slots_per_runner: int
    zones: tuple[ZoneRunners, ...]
    recent_slots: float | None = None
    peak_slots: float | None = None
    unchanged_ms: int = 0
    is_stable: bool = True


class CapacityOrder(Struct, frozen=True):
    """The number of runners that a service is to have in a zone."""

    zone: str
    desired: int


def calm_period_ms(boot_ms):
    """How long demand must have been low before runners are removed, in milliseconds."""
    return max(MIN_CALM_MS, int(boot_ms * CALM_BOOTS))


def runners_for(busy_slots, slots_per_runner, ratio):
    """The number of runners of which `busy_slots` uses at most this ratio of the slots."""
    return ceil(busy_slots / (slots_per_runner * ratio))


def plan_capacity(view):
    """The orders that change something, as a tuple of CapacityOrder."""
    if not view.zones or view.slots_per_runner <= 0:
        return ()
    targets = {zone.zone: zone.target for zone in view.zones}
    planned = clamp_ordered(view, targets)
    if planned == targets:
        planned = scale_out(view, targets)
    if planned == targets:
        planned = scale_in(view, targets)
    return tuple(CapacityOrder(zone, count) for zone, count in planned.items() if count != targets[zone])


def clamp_ordered(view, targets):
    """Targets with the numbers ordered before moved within the bounds, which a configuration may have changed."""
    ordered = {zone.zone for zone in view.zones if zone.ordered is not None}
    return {zone: clamp(view, count) if zone in ordered else count for zone, count in targets.items()}


def clamp(view, count):
    """A number of runners moved within the bounds of the service."""
    return max(view.min_count, min(view.max_count, count))


def is_listing_due(view):
    """Whether the list must show by now what was ordered."""
    return view.is_stable and view.unchanged_ms >= view.boot_ms + LIST_DELAY_MS


def missing_runners(view):
    """The number of ordered runners that should be listed by now and are not."""
    return sum(max(0, zone.target - zone.listed) for zone in view.zones) if is_listing_due(view) else 0


def scale_out(view, targets):
    """Targets raised to the aimed-at use of the slots if demand nears the capacity."""
    if view.recent_slots is None:
        return targets
    missing = missing_runners(view)
    if runners_for(view.recent_slots, view.slots_per_runner, SCALE_OUT_RATIO) <= sum(targets.values()) - missing:
        return targets
    needed = runners_for(view.recent_slots, view.slots_per_runner, TARGET_RATIO) + missing
    demand, planned = {zone.zone: zone.demand for zone in view.zones}, dict(targets)
    while sum(planned.values()) < needed:
        open_zones = [zone for zone, count in planned.items() if count < view.max_count]
        if not open_zones:
            break
        busiest = max(open_zones, key=lambda zone: (demand_per_runner(demand, planned, zone), -planned[zone], zone))
        planned[busiest] += 1
    # An order below the minimum would be raised to it by the platform.
    return {zone: clamp(view, count) if count != targets[zone] else count for zone, count in planned.items()}


def scale_in(view, targets):
    """Targets with at most one runner less in each zone, if demand was low for a calm period."""
    if view.peak_slots is None or view.unchanged_ms < calm_period_ms(view.boot_ms) or is_changing(view):
        return targets
    needed = runners_for(view.peak_slots, view.slots_per_runner, SCALE_IN_RATIO)
    surplus = sum(targets.values()) - missing_runners(view) - needed
    demand, planned = {zone.zone: zone.demand for zone in view.zones}, dict(targets)
    for zone in sorted(targets, key=lambda name: (demand_per_runner(demand, targets, name), -targets[name], name)):
        if surplus > 0 and planned[zone] > view.min_count:
            planned[zone] = min(planned[zone] - 1, view.max_count)
            surplus -= 1
    return planned


def is_changing(view):
    """Whether runners are being added, removed or replaced, or that isn't known."""
    is_replacing = any(zone.draining or zone.listed > zone.target for zone in view.zones)
    is_adding = any(zone.listed < zone.target for zone in view.zones) and not is_listing_due(view)
    return not view.is_stable or is_replacing or is_adding


def demand_per_runner(demand, counts, zone):
    """A zone's demand for each runner that it would have with one more."""
    return demand[zone] / (counts[zone] + 1)
