from msgspec import json
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from frostpost.simulator import fleet as fleets
from frostpost.simulator import fleet_calls, whole
from frostpost.simulator.doorplants import planted
from frostpost.testbed.templates import TEMPLATES


def raised(seed=1, **facts):
    fleet = fleets.make(seed, **facts)
    assert whole.settled(fleet, 12000) and whole.stamp_all(fleet)
    return fleet


def later(fleet, wait_ms):
    fleets.run(fleet, fleets.clock_ms(fleet) + wait_ms)


def asked(fleet, name, path, method="GET", document=None, wait_ms=8000):
    box = fleet_calls.call(fleet, name, path, method, document)
    while not box and wait_ms > 0:
        later(fleet, 50)
        wait_ms -= 50
    status, raw = box[0] if box else (0, b"")
    return status, json.decode(raw) if raw[:1] == b"{" and raw.count(b"\n") == 0 else raw


class Slow(Protocol):
    def connectionMade(self):
        self.data, self.whole = bytearray(), False
        self.factory.made.append(self)
        self.transport.write(b"GET /v1/config/templates/clerks HTTP/1.1\r\nhost: x\r\n\r\n")
        self.transport.pauseProducing()

    def dataReceived(self, data):
        self.data += data


def slow_read(fleet):
    factory = Factory.forProtocol(Slow)
    factory.made = []
    host = fleet.daemons["e1"].host.address
    TCP4ClientEndpoint(fleet.callers, host, fleets.HTTP).connect(factory)
    later(fleet, 100)
    fleets.warn(fleet, "e1")
    later(fleet, 3000)
    reader = factory.made[0]
    reader.transport.resumeProducing()
    later(fleet, 3000)
    return len(reader.data) > 600000 and bytes(reader.data).endswith(b"0\r\n\r\n"), fleet.daemons["e1"].exits


def enlarged():
    fleet = raised()
    template = {**TEMPLATES["clerks"], "notes": {"n": "x" * 600000}}
    assert asked(fleet, "e2", "/v1/config/templates/clerks", "PUT", template)[0] == 200
    later(fleet, 500)
    return fleet


def test_a_slow_reader_of_a_control_call_is_not_cut_by_a_planned_leave():
    assert slow_read(enlarged()) == (True, [0])


def test_the_same_is_cut_when_the_leave_waits_for_nothing():
    with planted("leave_early"):
        assert not slow_read(enlarged())[0]


def served(fleet, door):
    return asked(fleet, door, "/v1/tenants/hlidar/routes/flags/lookups", "POST", {"input": "x"})[0]


def extend(fleet, name, role, seeds, zone="b"):
    host = fleets.add_host(fleet, name, zone)
    fleets.add(fleet, name, role, zone, host, seeds, ["s1", "s2", "s3"], {})
    fleets.start(fleet, name)
    return f"{host.address}:{fleets.PORT}"


def address(fleet, name):
    return f"{fleet.daemons[name].host.address}:{fleets.PORT}"


def reseed(fleet, name, seeds):
    daemon = fleet.daemons[name]
    daemon.settings = daemon.settings.__class__(
        **{f: getattr(daemon.settings, f) for f in daemon.settings.__struct_fields__} | {"seeds": seeds}
    )


def test_a_new_daemon_seeded_by_edges_alone_joins_and_serves():
    fleet = raised()
    extend(fleet, "e9", "edge", [address(fleet, "e1"), address(fleet, "e2")])
    assert whole.settled(fleet, 8000) and served(fleet, "e9") == 200


def test_a_daemon_none_of_whose_seeds_live_is_found_by_the_others():
    fleet = raised()
    reseed(fleet, "e2", ["127.1.9.1:7000", "127.1.9.2:7000", "127.1.9.3:7000"])
    fleets.kill(fleet, "e2")
    later(fleet, 1500)
    fleets.start(fleet, "e2")
    assert whole.settled(fleet, 8000) and served(fleet, "e2") == 200


def test_all_three_seeds_are_replaced_while_the_fleet_runs():
    fleet = raised(storages=3, cores=2)
    old = [n for n in ("s1", "s2", "s3")]
    fresh = [extend(fleet, n, "core", [address(fleet, "e1")]) for n in ("c7", "c8", "c9")]
    assert whole.settled(fleet, 8000)
    for name in fleet.daemons:
        reseed(fleet, name, fresh)
        fleets.warn(fleet, name)
        later(fleet, 2500)
        assert fleet.daemons[name].exits[-1] == 0
        fleets.start(fleet, name)
        assert whole.settled(fleet, 8000)
    assert served(fleet, "e1") == 200
    assert set(fleet.daemons["e1"].ctx.core.ledger.voters) == set(old)


def test_everything_down_with_one_disk_gone_in_the_same_blow():
    fleet = raised()
    turn = {"program": "p", "input": "x"}
    path = "/v1/tenants/hlidar/routes/check/turns"
    assert asked(fleet, "e1", path, "POST", turn)[0] == 200
    before = asked(fleet, "e2", "/v1/tenants/hlidar/programs/p")[1]["history"]
    for name in fleet.daemons:
        fleets.kill(fleet, name, True)
    fleet.daemons["s2"].drive.names.clear()
    fleet.daemons["s2"].drive.lasting.clear()
    for name in fleet.daemons:
        fleets.start(fleet, name)
    start_ms = fleets.clock_ms(fleet)
    assert whole.settled(fleet, 12000) and fleets.clock_ms(fleet) - start_ms < 12000
    assert asked(fleet, "e1", "/v1/tenants/hlidar/programs/p")[1]["history"] == before and len(before) == 1
    assert served(fleet, "e2") == 200


def test_ends_are_taken_when_the_window_is_full():
    fleet = raised(bounds={"window": 1})
    ctx = fleet.daemons["e1"].ctx
    hold, send = {"hold": False}, ctx.links["send"]
    ctx.links["send"] = lambda to, body: (
        None if hold["hold"] and type(body).__name__ == "SubmitRequest" else send(to, body)
    )
    path, ledger = "/v1/tenants/hlidar/routes/check/turns", fleet.daemons["s1"].ctx.core
    boxes = [fleet_calls.call(fleet, "e1", path, "POST", {"program": "p1", "input": "x"})]
    while not ledger.ledger.reservations:
        later(fleet, 2)
    hold["hold"] = True
    boxes.append(fleet_calls.call(fleet, "e1", path, "POST", {"program": "p2", "input": "x"}))
    later(fleet, 500)
    assert len(ctx.core.synchrony.outbox) == 2
    hold["hold"] = False
    later(fleet, 8000)
    assert [b[0][0] for b in boxes] == [200, 200]
    assert not ledger.ledger.reservations and not ledger.ledger.running


def test_a_stopped_reader_pauses_the_runner_and_is_given_up_in_time():
    fleet = raised()
    for runner in fleet.backs.values():
        runner.flood = 20000
    assert asked(fleet, "e1", "/v1/config/tenants/hlidar", "PATCH", {"parameters": {"check_output": 100}})[0] == 200
    factory = Factory.forProtocol(Stopped)
    factory.made = []
    TCP4ClientEndpoint(fleet.callers, fleet.daemons["e1"].host.address, fleets.HTTP).connect(factory)
    later(fleet, 1500)
    wire = factory.made[0].transport.other
    assert wire.out_bytes < 400000
    assert fleet.daemons["e1"].ctx.requests_in_flight == 1
    later(fleet, 9000)
    assert fleet.daemons["e1"].ctx.requests_in_flight == 0
    assert not fleet.daemons["s1"].ctx.core.ledger.reservations


class Stopped(Protocol):
    def connectionMade(self):
        self.factory.made.append(self)
        body = b'{"program": "p", "input": "x"}'
        self.transport.write(
            b"POST /v1/tenants/hlidar/routes/check/turns HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body)
            + body
        )
        self.transport.pauseProducing()
