"""The demand that an agent measures: requests at runners and in its queue, and the runners that it sees."""

from msgspec import structs
from proxy_harness import ProxyHarness, make_route, make_runner

from frostpost.cluster.list_reading import ListReading
from frostpost.proxy.models import Routing, ScalingBounds, Service
from frostpost.proxy.service_demand import demand_report
from frostpost.virtual_synchrony.task_messages import ZoneCapacity


def new_harness(runners, monkeypatch):
    harness = ProxyHarness([make_route()], runners, monkeypatch)
    service = Service("s", 8, slots=4, scaling=ScalingBounds(1, 9, 4000))
    harness.agent.routing = Routing(1, harness.agent.routing.routes, {"s": service, "t": Service("t", 8)})
    return harness


def busy_ms(harness):
    return demand_report(harness.agent)[0].busy_ms


def test_only_services_whose_runners_are_ordered_are_reported(monkeypatch):
    harness = new_harness([], monkeypatch)
    assert [demand.service for demand in demand_report(harness.agent)] == ["s"]
    harness.agent.routing = None
    assert demand_report(harness.agent) == ()


def test_request_counts_while_it_is_at_its_runner(monkeypatch):
    harness = new_harness([make_runner("r1")], monkeypatch)
    harness.reactor.advance(1)
    harness.serve()
    harness.serve(attempt="a2")
    harness.reactor.advance(0.25)
    assert busy_ms(harness) == 2 * 250
    assert demand_report(harness.agent)[0].measured_ms == 1250


def test_request_counts_while_it_waits_for_a_slot(monkeypatch):
    harness = new_harness([], monkeypatch)
    harness.serve(deadline_ms=100000)
    harness.reactor.pump([0.02] * 5)
    assert busy_ms(harness) == 100


def test_request_that_ended_counts_no_more(monkeypatch):
    harness = new_harness([], monkeypatch)
    harness.serve(deadline_ms=100000)
    harness.reactor.pump([0.02] * 100)
    before = busy_ms(harness)
    harness.reactor.advance(5)
    assert harness.client_events and busy_ms(harness) == before
    assert harness.agent.demand_meters["s"].active == 0


def test_runners_are_reported_by_zone_with_their_slots_and_drains(monkeypatch):
    runners = [make_runner("r1", zone="b"), make_runner("r2", zone="a"), make_runner("r3", zone="a", slots=6)]
    runners.append(structs.replace(make_runner("r4", zone="a"), draining=True))
    runners.append(make_runner("r5", service="t", zone="a"))
    harness = new_harness(runners, monkeypatch)
    report = demand_report(harness.agent)[0]
    assert report.zones == (ZoneCapacity("a", 2, 10, 1), ZoneCapacity("b", 1, 4, 0))
    assert report.list_age_ms == -1
    harness.agent.runner_list.last = ListReading(1, 0)
    harness.reactor.advance(0.5)
    assert demand_report(harness.agent)[0].list_age_ms == 500
