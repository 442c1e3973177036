"""The policy for the number of runners: bursts, calm, losses, releases, changed bounds, and no flapping under noise."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from frostpost.cluster.scaling_policy import (
    LIST_DELAY_MS,
    MIN_CALM_MS,
    SCALE_IN_RATIO,
    SCALE_OUT_RATIO,
    TARGET_RATIO,
    ServiceView,
    ZoneRunners,
    calm_period_ms,
    plan_capacity,
)

SLOTS, BOOT_MS = 8, 4000
CALM_MS = calm_period_ms(BOOT_MS)


def zone(name, ordered=None, listed=None, **changes):
    return ZoneRunners(name, ordered, ordered if listed is None else listed, **changes)


def view(*zones, **changes):
    fields = dict(min_count=2, max_count=10, boot_ms=BOOT_MS, slots_per_runner=SLOTS, zones=zones, unchanged_ms=CALM_MS)
    return ServiceView(**(fields | changes))


def orders(*args, **changes):
    return {order.zone: order.desired for order in plan_capacity(view(*args, **changes))}


def test_nothing_is_ordered_without_reports():
    assert orders(zone("a", 4), zone("b", listed=4)) == {}


def test_nothing_is_ordered_without_runners_or_slots():
    assert orders(recent_slots=99.0, peak_slots=99.0) == {}
    assert orders(zone("a", 4), recent_slots=99.0, peak_slots=0.0, slots_per_runner=0) == {}


def test_burst_is_answered_at_once_and_up_to_the_aimed_at_use():
    zones = zone("a", 4, demand=30.0), zone("b", 4, demand=30.0)
    assert orders(*zones, recent_slots=60.0, peak_slots=60.0, unchanged_ms=0) == {"a": 6, "b": 7}


def test_burst_is_not_ordered_twice_while_the_runners_start():
    zones = zone("a", 6, listed=4, demand=30.0), zone("b", 7, listed=4, demand=30.0)
    assert orders(*zones, recent_slots=60.0, peak_slots=60.0, unchanged_ms=1000) == {}


def test_added_runners_follow_the_demand_of_the_zones():
    zones = zone("a", 4, demand=50.0), zone("b", 4, demand=10.0)
    assert orders(*zones, recent_slots=60.0) == {"a": 9}


def test_demand_beyond_all_bounds_orders_the_maximum():
    assert orders(zone("a", 4), zone("b", 4), recent_slots=1e6) == {"a": 10, "b": 10}


def test_calm_removes_one_runner_in_each_zone_and_waits():
    zones = zone("a", 4), zone("b", 5)
    assert orders(*zones, recent_slots=1.0, peak_slots=2.0) == {"a": 3, "b": 4}
    assert orders(*zones, recent_slots=1.0, peak_slots=2.0, unchanged_ms=CALM_MS - 1) == {}


def test_calm_removes_no_more_than_the_peak_allows_and_from_the_zone_with_less_demand():
    zones = zone("a", 5, demand=10.0), zone("b", 5, demand=26.0)
    assert orders(*zones, recent_slots=30.0, peak_slots=36.0) == {"a": 4}


def test_runners_that_were_never_ordered_are_removed_as_well():
    assert orders(zone("a", listed=4), recent_slots=1.0, peak_slots=2.0) == {"a": 3}


def test_minimum_is_kept():
    assert orders(zone("a", 2), zone("b", listed=2), recent_slots=0.0, peak_slots=0.0) == {}


def test_low_demand_without_all_reports_removes_nothing():
    assert orders(zone("a", 9), recent_slots=0.0, peak_slots=None) == {}


def test_release_with_two_generations_side_by_side_removes_nothing():
    zones = zone("a", 4, listed=6), zone("b", 4)
    assert orders(*zones, recent_slots=1.0, peak_slots=2.0) == {}
    assert orders(zone("a", listed=4, draining=2), recent_slots=1.0, peak_slots=2.0) == {}
    assert orders(*zones, recent_slots=1.0, peak_slots=2.0, unchanged_ms=1 << 40) == {}


def test_unknown_state_of_the_platform_removes_nothing():
    assert orders(zone("a", 4), recent_slots=1.0, peak_slots=2.0, is_stable=False) == {}
    assert orders(zone("a", 6, listed=3), recent_slots=30.0, unchanged_ms=1 << 40, is_stable=False) == {}


def test_release_does_not_hide_that_demand_nears_the_capacity():
    assert orders(zone("a", 4, listed=8, draining=2), recent_slots=32.0) == {"a": 7}


def test_lost_runners_are_made_up_for_once_the_list_must_show_them():
    lost = zone("a", 6, listed=3, demand=1.0)
    late = BOOT_MS + LIST_DELAY_MS
    assert orders(lost, recent_slots=30.0, unchanged_ms=late - 1) == {}
    assert orders(lost, recent_slots=30.0, unchanged_ms=late) == {"a": 10}
    assert orders(lost, recent_slots=10.0, unchanged_ms=late) == {}


def test_lost_runners_are_not_made_up_for_again_and_again():
    assert orders(zone("a", 10, listed=7), recent_slots=30.0, unchanged_ms=1 << 40, max_count=99) == {}


def test_lost_runners_do_not_keep_the_others_for_ever():
    zones = zone("a", 6, listed=3), zone("b", 6)
    late = BOOT_MS + LIST_DELAY_MS
    assert orders(*zones, recent_slots=4.0, peak_slots=4.0, unchanged_ms=late - 1) == {}
    assert orders(*zones, recent_slots=4.0, peak_slots=4.0, unchanged_ms=late) == {"a": 5, "b": 5}
    assert orders(*zones, recent_slots=4.0, peak_slots=34.0, unchanged_ms=late) == {}


def test_bounds_of_a_new_configuration_move_what_was_ordered():
    assert orders(zone("a", 9), zone("b", 1), zone("c", listed=1), max_count=6) == {"a": 6, "b": 2}


COUNTS = st.integers(0, 40)
ZONES = st.lists(
    st.builds(ZoneRunners, st.just("z"), st.none() | COUNTS, COUNTS, st.integers(0, 3), st.floats(0, 500)),
    max_size=5,
).map(lambda zones: tuple(structs.replace(zone, zone=f"z{number}") for number, zone in enumerate(zones)))
DEMAND = st.none() | st.floats(0, 2000)
VIEWS = st.builds(
    lambda low, more, **fields: ServiceView(min_count=low, max_count=low + more, **fields),
    st.integers(0, 20),
    st.integers(0, 20),
    boot_ms=st.integers(0, 60000),
    slots_per_runner=st.integers(0, 64),
    zones=ZONES,
    recent_slots=DEMAND,
    peak_slots=DEMAND,
    unchanged_ms=st.integers(0, 100000),
)


@given(VIEWS)
def test_orders_stay_within_the_bounds_and_change_something(given_view):
    targets = {zone.zone: zone.target for zone in given_view.zones}
    for order in plan_capacity(given_view):
        assert given_view.min_count <= order.desired <= given_view.max_count
        assert order.desired != targets[order.zone]


@given(VIEWS)
def test_same_orders_are_not_given_again_once_taken(given_view):
    taken = {order.zone: order.desired for order in plan_capacity(given_view)}
    zones = tuple(structs.replace(z, ordered=taken.get(z.zone, z.ordered)) for z in given_view.zones)
    again = plan_capacity(structs.replace(given_view, zones=zones, unchanged_ms=0))
    assert not {order.zone for order in again} & set(taken) or any(
        zone.ordered is not None and not given_view.min_count <= zone.ordered <= given_view.max_count
        for zone in given_view.zones
    )


@given(VIEWS, st.floats(0.5, 1))
def test_removal_leaves_room_for_the_peak(given_view, share):
    peak = given_view.peak_slots
    calm = structs.replace(given_view, recent_slots=None if peak is None else peak * share)
    planned = {zone.zone: zone.target for zone in calm.zones}
    planned |= {order.zone: order.desired for order in plan_capacity(calm)}
    if peak is not None and sum(planned.values()) < sum(zone.target for zone in calm.zones):
        clamped = any(zone.target > calm.max_count for zone in calm.zones)
        assert clamped or peak <= sum(planned.values()) * calm.slots_per_runner * SCALE_IN_RATIO + 1e-6


def settle(total, counts, noise, steps):
    """Play demand around `total` until the numbers should rest; returns the numbers after each later step."""
    history, seen = [], []
    for step in range(steps):
        seen.append(total * (1 + noise[step % len(noise)]))
        zones = tuple(
            ZoneRunners(name, count, count, demand=seen[-1] / len(counts)) for name, count in sorted(counts.items())
        )
        given_view = view(*zones, recent_slots=min(seen[-2:]), peak_slots=max(seen[-10:]), unchanged_ms=MIN_CALM_MS)
        for order in plan_capacity(given_view):
            counts[order.zone] = order.desired
        history.append(dict(counts))
    return history


@given(st.floats(0, 150), st.lists(st.floats(-0.15, 0.15), min_size=10, max_size=10), st.integers(2, 10))
def test_steady_demand_with_noise_changes_nothing_after_a_while(total, noise, count):
    history = settle(total, {"a": count, "b": count, "c": count}, noise, 60)
    assert all(counts == history[-1] for counts in history[30:])


def test_ratios_leave_room_between_adding_and_removing():
    assert SCALE_IN_RATIO < TARGET_RATIO < SCALE_OUT_RATIO < 1
