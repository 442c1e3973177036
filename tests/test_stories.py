from msgspec import json
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from frostpost.simulator import valley as valleys
from frostpost.simulator import valley_calls, whole
from frostpost.simulator.doorplants import planted
from frostpost.testbed.templates import TEMPLATES


def raised(seed=1, **facts):
    valley = valleys.make(seed, **facts)
    assert whole.settled(valley, 12000) and whole.stamp_all(valley)
    return valley


def later(valley, wait_ms):
    valleys.run(valley, valleys.clock_ms(valley) + wait_ms)


def asked(valley, name, path, method="GET", document=None, wait_ms=8000):
    box = valley_calls.call(valley, name, path, method, document)
    while not box and wait_ms > 0:
        later(valley, 50)
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


def slow_read(valley):
    factory = Factory.forProtocol(Slow)
    factory.made = []
    host = valley.daemons["e1"].host.address
    TCP4ClientEndpoint(valley.callers, host, valleys.HTTP).connect(factory)
    later(valley, 100)
    valleys.warn(valley, "e1")
    later(valley, 3000)
    reader = factory.made[0]
    reader.transport.resumeProducing()
    later(valley, 3000)
    return len(reader.data) > 600000 and bytes(reader.data).endswith(b"0\r\n\r\n"), valley.daemons["e1"].exits


def enlarged():
    valley = raised()
    template = {**TEMPLATES["clerks"], "notes": {"n": "x" * 600000}}
    assert asked(valley, "e2", "/v1/config/templates/clerks", "PUT", template)[0] == 200
    later(valley, 500)
    return valley


def test_a_slow_reader_of_a_control_call_is_not_cut_by_a_planned_leave():
    assert slow_read(enlarged()) == (True, [0])


def test_the_same_is_cut_when_the_leave_waits_for_nothing():
    with planted("leave_early"):
        assert not slow_read(enlarged())[0]


def served(valley, door):
    return asked(valley, door, "/v1/tenants/hlidar/routes/flags/lookups", "POST", {"input": "x"})[0]


def extend(valley, name, role, seeds, zone="b"):
    host = valleys.add_host(valley, name, zone)
    valleys.add(valley, name, role, zone, host, seeds, ["s1", "s2", "s3"], {})
    valleys.start(valley, name)
    return f"{host.address}:{valleys.PORT}"


def address(valley, name):
    return f"{valley.daemons[name].host.address}:{valleys.PORT}"


def reseed(valley, name, seeds):
    daemon = valley.daemons[name]
    daemon.settings = daemon.settings.__class__(
        **{f: getattr(daemon.settings, f) for f in daemon.settings.__struct_fields__} | {"seeds": seeds}
    )


def test_a_new_daemon_seeded_by_edges_alone_joins_and_serves():
    valley = raised()
    extend(valley, "e9", "edge", [address(valley, "e1"), address(valley, "e2")])
    assert whole.settled(valley, 8000) and served(valley, "e9") == 200


def test_a_daemon_none_of_whose_seeds_live_is_found_by_the_others():
    valley = raised()
    reseed(valley, "e2", ["127.1.9.1:7000", "127.1.9.2:7000", "127.1.9.3:7000"])
    valleys.kill(valley, "e2")
    later(valley, 1500)
    valleys.start(valley, "e2")
    assert whole.settled(valley, 8000) and served(valley, "e2") == 200


def test_all_three_seeds_are_replaced_while_the_fleet_runs():
    valley = raised(storages=3, cores=2)
    old = [n for n in ("s1", "s2", "s3")]
    fresh = [extend(valley, n, "core", [address(valley, "e1")]) for n in ("c7", "c8", "c9")]
    assert whole.settled(valley, 8000)
    for name in valley.daemons:
        reseed(valley, name, fresh)
        valleys.warn(valley, name)
        later(valley, 2500)
        assert valley.daemons[name].exits[-1] == 0
        valleys.start(valley, name)
        assert whole.settled(valley, 8000)
    assert served(valley, "e1") == 200
    assert set(valley.daemons["e1"].ctx.core.ledger.voters) == set(old)


def test_everything_down_with_one_disk_gone_in_the_same_blow():
    valley = raised()
    turn = {"program": "p", "input": "x"}
    path = "/v1/tenants/hlidar/routes/check/turns"
    assert asked(valley, "e1", path, "POST", turn)[0] == 200
    before = asked(valley, "e2", "/v1/tenants/hlidar/programs/p")[1]["history"]
    for name in valley.daemons:
        valleys.kill(valley, name, True)
    valley.daemons["s2"].drive.names.clear()
    valley.daemons["s2"].drive.lasting.clear()
    for name in valley.daemons:
        valleys.start(valley, name)
    start_ms = valleys.clock_ms(valley)
    assert whole.settled(valley, 12000) and valleys.clock_ms(valley) - start_ms < 12000
    assert asked(valley, "e1", "/v1/tenants/hlidar/programs/p")[1]["history"] == before and len(before) == 1
    assert served(valley, "e2") == 200


def test_ends_are_taken_when_the_window_is_full():
    valley = raised(bounds={"window": 1})
    ctx = valley.daemons["e1"].ctx
    hold, send = {"hold": False}, ctx.links["send"]
    ctx.links["send"] = lambda to, body: None if hold["hold"] and type(body).__name__ == "Submit" else send(to, body)
    path, ledger = "/v1/tenants/hlidar/routes/check/turns", valley.daemons["s1"].ctx.core
    boxes = [valley_calls.call(valley, "e1", path, "POST", {"program": "p1", "input": "x"})]
    while not ledger.ledger.reservations:
        later(valley, 2)
    hold["hold"] = True
    boxes.append(valley_calls.call(valley, "e1", path, "POST", {"program": "p2", "input": "x"}))
    later(valley, 500)
    assert len(ctx.core.synchrony.outbox) == 2
    hold["hold"] = False
    later(valley, 8000)
    assert [b[0][0] for b in boxes] == [200, 200]
    assert not ledger.ledger.reservations and not ledger.ledger.running


def test_a_stopped_reader_pauses_the_runner_and_is_given_up_in_time():
    valley = raised()
    for runner in valley.backs.values():
        runner.flood = 20000
    assert asked(valley, "e1", "/v1/config/tenants/hlidar", "PATCH", {"parameters": {"check_output": 100}})[0] == 200
    factory = Factory.forProtocol(Stopped)
    factory.made = []
    TCP4ClientEndpoint(valley.callers, valley.daemons["e1"].host.address, valleys.HTTP).connect(factory)
    later(valley, 1500)
    wire = factory.made[0].transport.other
    assert wire.out_bytes < 400000
    assert valley.daemons["e1"].ctx.flights == 1
    later(valley, 9000)
    assert valley.daemons["e1"].ctx.flights == 0
    assert not valley.daemons["s1"].ctx.core.ledger.reservations


class Stopped(Protocol):
    def connectionMade(self):
        self.factory.made.append(self)
        body = b'{"program": "p", "input": "x"}'
        self.transport.write(
            b"POST /v1/tenants/hlidar/routes/check/turns HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body)
            + body
        )
        self.transport.pauseProducing()
