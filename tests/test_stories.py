from msgspec import json
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from frostpost.simulator import fleet as fleets
from frostpost.simulator import fleet_calls, whole_path
from frostpost.simulator.http_plants import planted
from frostpost.testbed.templates import TEMPLATES


def started_fleet(seed=1, **facts):
    fleet = fleets.create_fleet(seed, **facts)
    assert whole_path.wait_until_ready(fleet, 12000) and whole_path.apply_config(fleet)
    return fleet


def advance(fleet, wait_ms):
    fleets.run(fleet, fleets.clock_ms(fleet) + wait_ms)


def call_daemon(fleet, name, path, method="GET", document=None, wait_ms=8000):
    replies = fleet_calls.call(fleet, name, path, method, document)
    while not replies and wait_ms > 0:
        advance(fleet, 50)
        wait_ms -= 50
    status, raw = replies[0] if replies else (0, b"")
    return status, json.decode(raw) if raw[:1] == b"{" and raw.count(b"\n") == 0 else raw


class PausedReader(Protocol):
    def connectionMade(self):
        self.data, self.whole = bytearray(), False
        self.factory.made.append(self)
        self.transport.write(b"GET /v1/config/templates/clerks HTTP/1.1\r\nhost: x\r\n\r\n")
        self.transport.pauseProducing()

    def dataReceived(self, data):
        self.data += data


def read_slowly_during_shutdown(fleet):
    factory = Factory.forProtocol(PausedReader)
    factory.made = []
    host = fleet.daemons["e1"].host.address
    TCP4ClientEndpoint(fleet.callers, host, fleets.HTTP_PORT).connect(factory)
    advance(fleet, 100)
    fleets.shut_down(fleet, "e1")
    advance(fleet, 3000)
    reader = factory.made[0]
    reader.transport.resumeProducing()
    advance(fleet, 3000)
    return len(reader.data) > 600000 and bytes(reader.data).endswith(b"0\r\n\r\n"), fleet.daemons["e1"].exits


def fleet_with_large_template():
    fleet = started_fleet()
    template = {**TEMPLATES["clerks"], "notes": {"n": "x" * 600000}}
    assert call_daemon(fleet, "e2", "/v1/config/templates/clerks", "PUT", template)[0] == 200
    advance(fleet, 500)
    return fleet


def test_planned_shutdown_completes_the_response_to_a_slow_reader():
    assert read_slowly_during_shutdown(fleet_with_large_template()) == (True, [0])


def test_shutdown_without_drain_cuts_the_response_to_a_slow_reader():
    with planted("leave_early"):
        assert not read_slowly_during_shutdown(fleet_with_large_template())[0]


def lookup_status(fleet, daemon):
    return call_daemon(fleet, daemon, "/v1/tenants/hlidar/routes/flags/lookups", "POST", {"input": "x"})[0]


def start_daemon(fleet, name, role, seeds, zone="b"):
    host = fleets.add_host(fleet, name, zone)
    fleets.add_daemon(fleet, name, role, zone, host, seeds, ["s1", "s2", "s3"], {})
    fleets.start(fleet, name)
    return f"{host.address}:{fleets.CONTROL_PORT}"


def inner_address(fleet, name):
    return f"{fleet.daemons[name].host.address}:{fleets.CONTROL_PORT}"


def replace_seeds(fleet, name, seeds):
    daemon = fleet.daemons[name]
    daemon.settings = daemon.settings.__class__(
        **{f: getattr(daemon.settings, f) for f in daemon.settings.__struct_fields__} | {"seeds": seeds}
    )


def test_daemon_with_only_edges_as_seeds_joins_and_serves():
    fleet = started_fleet()
    start_daemon(fleet, "e9", "edge", [inner_address(fleet, "e1"), inner_address(fleet, "e2")])
    assert whole_path.wait_until_ready(fleet, 8000) and lookup_status(fleet, "e9") == 200


def test_daemon_with_unreachable_seeds_is_found_by_the_others():
    fleet = started_fleet()
    replace_seeds(fleet, "e2", ["127.1.9.1:7000", "127.1.9.2:7000", "127.1.9.3:7000"])
    fleets.kill(fleet, "e2")
    advance(fleet, 1500)
    fleets.start(fleet, "e2")
    assert whole_path.wait_until_ready(fleet, 8000) and lookup_status(fleet, "e2") == 200


def test_all_seeds_are_replaced_while_the_fleet_runs():
    fleet = started_fleet(storages=3, cores=2)
    old_voters = [n for n in ("s1", "s2", "s3")]
    new_seeds = [start_daemon(fleet, n, "core", [inner_address(fleet, "e1")]) for n in ("c7", "c8", "c9")]
    assert whole_path.wait_until_ready(fleet, 8000)
    for name in fleet.daemons:
        replace_seeds(fleet, name, new_seeds)
        fleets.shut_down(fleet, name)
        advance(fleet, 2500)
        assert fleet.daemons[name].exits[-1] == 0
        fleets.start(fleet, name)
        assert whole_path.wait_until_ready(fleet, 8000)
    assert lookup_status(fleet, "e1") == 200
    assert set(fleet.daemons["e1"].ctx.core.ledger.voters) == set(old_voters)


def test_fleet_recovers_from_power_loss_of_all_daemons_with_one_disk_lost():
    fleet = started_fleet()
    turn = {"program": "p", "input": "x"}
    path = "/v1/tenants/hlidar/routes/check/turns"
    assert call_daemon(fleet, "e1", path, "POST", turn)[0] == 200
    history = call_daemon(fleet, "e2", "/v1/tenants/hlidar/programs/p")[1]["history"]
    for name in fleet.daemons:
        fleets.kill(fleet, name, True)
    fleet.daemons["s2"].disk.names.clear()
    fleet.daemons["s2"].disk.durable_names.clear()
    for name in fleet.daemons:
        fleets.start(fleet, name)
    start_ms = fleets.clock_ms(fleet)
    assert whole_path.wait_until_ready(fleet, 12000) and fleets.clock_ms(fleet) - start_ms < 12000
    assert call_daemon(fleet, "e1", "/v1/tenants/hlidar/programs/p")[1]["history"] == history and len(history) == 1
    assert lookup_status(fleet, "e2") == 200


def test_turn_ends_are_accepted_while_the_window_is_full():
    fleet = started_fleet(bounds={"window": 1})
    ctx = fleet.daemons["e1"].ctx
    state, send = {"hold": False}, ctx.links["send"]
    ctx.links["send"] = lambda to, body: (
        None if state["hold"] and type(body).__name__ == "SubmitRequest" else send(to, body)
    )
    path, ledger = "/v1/tenants/hlidar/routes/check/turns", fleet.daemons["s1"].ctx.core
    replies_of = [fleet_calls.call(fleet, "e1", path, "POST", {"program": "p1", "input": "x"})]
    while not ledger.ledger.reservations:
        advance(fleet, 2)
    state["hold"] = True
    replies_of.append(fleet_calls.call(fleet, "e1", path, "POST", {"program": "p2", "input": "x"}))
    advance(fleet, 500)
    assert len(ctx.core.synchrony.outbox) == 2
    state["hold"] = False
    advance(fleet, 8000)
    assert [b[0][0] for b in replies_of] == [200, 200]
    assert not ledger.ledger.reservations and not ledger.ledger.running


def test_stopped_reader_pauses_the_runner_and_is_aborted_at_its_deadline():
    fleet = started_fleet()
    for runner in fleet.runners.values():
        runner.flood = 20000
    assert (
        call_daemon(fleet, "e1", "/v1/config/tenants/hlidar", "PATCH", {"parameters": {"check_output": 100}})[0] == 200
    )
    factory = Factory.forProtocol(StoppedReader)
    factory.made = []
    TCP4ClientEndpoint(fleet.callers, fleet.daemons["e1"].host.address, fleets.HTTP_PORT).connect(factory)
    advance(fleet, 1500)
    connection = factory.made[0].transport.peer
    assert connection.buffered_bytes < 400000
    assert fleet.daemons["e1"].ctx.requests_in_flight == 1
    advance(fleet, 9000)
    assert fleet.daemons["e1"].ctx.requests_in_flight == 0
    assert not fleet.daemons["s1"].ctx.core.ledger.reservations


class StoppedReader(Protocol):
    def connectionMade(self):
        self.factory.made.append(self)
        body = b'{"program": "p", "input": "x"}'
        self.transport.write(
            b"POST /v1/tenants/hlidar/routes/check/turns HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % len(body)
            + body
        )
        self.transport.pauseProducing()
