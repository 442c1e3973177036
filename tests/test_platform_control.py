import json
from types import SimpleNamespace

import pytest
from expression import Error, Ok
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from frostpost.cluster.agent_context import AgentContext
from frostpost.daemon.machine import Machine
from frostpost.platform import call_deadlines, control, routing
from frostpost.program_ledger import accepted_changes
from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.messages import ReadRouting, RoutingConflict, RoutingForgotten, RoutingSet, SetRouting
from frostpost.program_ledger.state import ProgramLedger
from frostpost.proxy.failures import Unavailable

SERVICES = [{"name": "s1", "max-connections": 9}]
ROUTE = {"name": "r1", "host": "a", "path-prefix": "/x/", "route-class": "safe", "guard-ms": 900, "target": "s1"}


class FakeControlClient:
    """`cluster.control_client` on a ledger in memory; `concurrent_change` is applied just before the next change."""

    RoutingConflict, RoutingForgotten = RoutingConflict, RoutingForgotten

    def __init__(self):
        (
            self.ledger,
            self.unavailable,
            self.concurrent_change,
            self.retirement_states,
            self.awaited_versions,
            self.wait_times_ms,
        ) = (ProgramLedger(), False, None, {}, [], [])

    @property
    def routing_body(self):
        return self.ledger.routing_body

    def read_routing(self, agent, wait_ms, version=0, digest=b""):
        self.wait_times_ms.append(wait_ms)
        operation = ReadRouting(version, digest)
        return succeed(
            Error(Unavailable(250)) if self.unavailable else Ok(apply_operation(self.ledger, 0, (), (), operation))
        )

    def set_routing(self, agent, base, version, body, digest, adopted, wait_ms):
        self.wait_times_ms.append(wait_ms)
        concurrent_change, self.concurrent_change = self.concurrent_change, None
        if concurrent_change is not None:
            apply_operation(self.ledger, 0, (), (), concurrent_change)
        result = apply_operation(self.ledger, 0, (), (), SetRouting(base, version, body, digest, 1000, adopted))
        return succeed(Ok(version) if isinstance(result, RoutingSet) else Error(result))

    def wait_until_honoured(self, agent, version, wait_ms):
        self.awaited_versions.append(version)
        return succeed(Ok(version))

    def retire(self, agent, name, wait_ms):
        return succeed(
            Error(Unavailable(100))
            if self.unavailable
            else Ok(SimpleNamespace(state=self.retirement_states.get(name, "unknown")))
        )

    read_retirement = retire


@pytest.fixture
def client(monkeypatch):
    client = FakeControlClient()
    monkeypatch.setattr(control, "control_client", lambda: client)
    return client


def send(method, operation, document=None, base=None, raw=None):
    clock = Clock()
    channel = control.make_server(AgentContext(None, clock, "a", Machine(seconds=clock.seconds))).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    body = raw if raw is not None else b"" if document is None else json.dumps(document).encode()
    head = b"%s /frostpost/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % (
        method.encode(),
        operation.encode(),
        len(body),
    )
    channel.dataReceived(
        head + (b"" if base is None else b"X-Base-Revision: %s\r\n" % str(base).encode("latin-1")) + b"\r\n" + body
    )
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def config(issue, **changes):
    return {"issue": issue, "route-table": [ROUTE], "service-table": SERVICES, "odd": 1.5, **changes}


def replace(document, base):
    return send("POST", "Configuration.Replace", document, base)[0]


def modify(document, base):
    return send("POST", "Configuration.Modify", document, base)[0]


def concurrent_set(document, base):
    """Return the operation of a change that is made through another daemon."""
    digest = routing.request_digest("replace", document)
    return SetRouting(base, document["issue"], routing.encode_body(document), digest, 1000)


def current_config():
    status, body = send("GET", "Configuration.Query")
    return json.loads(body) if status == 200 else status


def test_configuration_is_applied_read_back_and_acknowledged_again(client):
    assert current_config() == {"issue": 0, "route-table": [], "service-table": []}
    assert replace(config(7), 0) == 200 and current_config() == config(7)
    assert replace(config(7), 0) == 200 and client.awaited_versions == [7]
    assert replace(config(7, odd=2), 0) == 412 and replace(config(9), 0) == 412


def test_modification_is_merged_with_the_current_configuration(client):
    replace(config(7), 0)
    change = {"issue": 9, "upsert": {"route-table": [{**ROUTE, "name": "r2", "path-prefix": "/y/"}]}}
    assert modify(change, 7) == 200 and modify(change, 7) == 200
    assert [route["name"] for route in current_config()["route-table"]] == ["r1", "r2"]
    assert (current_config()["issue"], current_config()["odd"]) == (9, 1.5)
    assert modify({**change, "remove": {}}, 7) == 412
    assert routing.routing_from_body(client.routing_body).version == 9


def test_earlier_change_is_acknowledged_again_after_later_ones(client):
    replace(config(7), 0)
    assert modify({"issue": 9, "remove": {"route-table": ["r1"]}}, 7) == 200
    assert replace(config(7), 0) == 200 and current_config()["issue"] == 9 and client.awaited_versions == [7]


@pytest.mark.parametrize(
    "document,base",
    [
        (config(7), 7),
        (config(6), 7),
        (config(8, **{"route-table": [{**ROUTE, "guard-ms": 0}]}), 7),
        ({}, 7),
        (config(8), None),
    ],
)
def test_invalid_configurations_are_rejected(client, document, base):
    replace(config(7, odd=0), 0)
    assert replace(document, base) == 400 and current_config() == config(7, odd=0)


def test_invalid_changes_are_rejected(client):
    replace(config(7), 0)
    assert modify({"issue": 8, "remove": {"service-table": ["s1"]}}, 7) == 400
    assert modify({"issue": 7}, 7) == 400 and modify({"upsert": {}}, 7) == 400
    assert send("POST", "Configuration.Replace", raw=b'{"issue":', base=7)[0] == 400
    assert current_config() == config(7)


def test_only_one_of_two_concurrent_changes_is_applied(client):
    replace(config(7), 0)
    client.concurrent_change = concurrent_set(config(8), 7)
    assert replace(config(9), 7) == 412 and current_config() == config(8)


def test_same_change_at_two_daemons_is_acknowledged_by_both(client):
    replace(config(7), 0)
    client.concurrent_change = concurrent_set(config(9), 7)
    assert replace(config(9), 7) == 200 and current_config() == config(9)


def test_change_is_acknowledged_again_hundreds_of_changes_later(client):
    sent = [(config(7), 0), *((config(issue), issue - 1) for issue in range(8, 600))]
    assert {replace(*order) for order in sent} == {200}
    assert {replace(*order) for order in sent[::50]} == {200} and current_config()["issue"] == 599
    assert replace(config(8, odd=2), 7) == 412


def test_resent_change_that_was_evicted_is_answered_503(client, monkeypatch):
    monkeypatch.setattr(accepted_changes, "MAX_RETAINED_CHANGES", 3)
    for issue in range(7, 12):
        assert replace(config(issue), issue - 1 if issue > 7 else 0) == 200
    assert [replace(config(issue), issue - 1 if issue > 7 else 0) for issue in range(7, 12)] == [
        503,
        503,
        200,
        200,
        200,
    ]
    assert replace(config(12), 10) == 412


def test_same_change_on_another_base_is_a_different_change(client):
    replace(config(7), 0)
    replace(config(8), 7)
    change = {"issue": 9, "remove": {"route-table": ["r1"]}}
    assert modify(change, 8) == 200 and modify(change, 8) == 200 and modify(change, 7) == 412


@pytest.mark.parametrize("issue", [1 << 63, 10**30])
def test_issue_beyond_64_bits_is_invalid(client, issue):
    assert replace(config(issue), 0) == 400 and modify({"issue": issue}, 0) == 400


@pytest.mark.parametrize("base", ["9" * 5000, "\xb2", "-1", "", "1 2"])
def test_non_numeric_base_is_invalid(client, base):
    assert send("POST", "Configuration.Replace", config(7), base)[0] == 400


def test_operations_wait_less_than_the_callers_timeout(client):
    replace(config(7), 0)
    current_config()
    assert (
        len(client.wait_times_ms) == 3
        and max(client.wait_times_ms) <= call_deadlines.CALLER_TIMEOUT_MS * call_deadlines.RESPONSE_RATIO
    )


def test_unavailable_replicas_are_answered_503(client):
    client.unavailable = True
    assert replace(config(7), 0) == 503 and current_config() == 503
    assert send("GET", "Retire.Query/s1")[0] == 503


@pytest.mark.parametrize("state,status", [("in_service", 200), ("completed", 200), ("unknown", 404), ("few", 409)])
def test_retirement_state_is_mapped_to_a_status(client, state, status):
    client.retirement_states["storage-a-1"] = state
    assert send("POST", "Retire.Initiate/storage-a-1", {"deadline-s": 10})[0] == status
    found_status, body = send("GET", "Retire.Query/storage-a-1")
    assert found_status == status and json.loads(body) == {"state": state}


def test_unknown_paths_are_answered_404(client):
    for method, operation in (
        ("GET", "Configuration.Replace"),
        ("POST", "Retire.Initiate"),
        ("GET", "Odd"),
        ("GET", ""),
    ):
        assert send(method, operation)[0] == 404


def test_change_is_logged_with_its_outcome_and_without_its_content(client, monkeypatch):
    logged = []
    monkeypatch.setattr(control, "log_event", lambda event, **fields: logged.append((event, fields)))
    replace(config(7, odd="secret"), 0)
    replace(config(9), 0)
    assert [(event, fields["status"]) for event, fields in logged] == [
        ("configuration_change", 200),
        ("configuration_change", 412),
    ]
    assert logged[0][1] == dict(operation="replace", issue=7, base=0, status=200, took_ms=0)
