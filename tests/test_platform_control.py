import json
from types import SimpleNamespace

import pytest
from expression import Error, Ok
from twisted.internet.defer import succeed
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from frostpost.cluster.agent_context import AgentContext
from frostpost.daemon.machine import Machine
from frostpost.platform import control, routing
from frostpost.program_ledger import accepted_changes
from frostpost.program_ledger.apply import apply_operation
from frostpost.program_ledger.messages import ReadRouting, RoutingConflict, RoutingForgotten, RoutingSet, SetRouting
from frostpost.program_ledger.state import ProgramLedger
from frostpost.proxy.failures import Unavailable

SERVICES = [{"name": "s1", "max-connections": 9}]
ROUTE = {"name": "r1", "host": "a", "path-prefix": "/x/", "route-class": "safe", "guard-ms": 900, "target": "s1"}


class Ring:
    """Stands in for the product's operations on a real ledger; `race` is ordered just before the next change."""

    RoutingConflict, RoutingForgotten = RoutingConflict, RoutingForgotten

    def __init__(self):
        self.ledger, self.down, self.race, self.states, self.waited, self.calls = (
            ProgramLedger(),
            False,
            None,
            {},
            [],
            [],
        )

    @property
    def body(self):
        return self.ledger.routing_body

    def read_routing(self, agent, wait_ms, version=0, digest=b""):
        self.calls.append(wait_ms)
        look = ReadRouting(version, digest)
        return succeed(Error(Unavailable(250)) if self.down else Ok(apply_operation(self.ledger, 0, (), (), look)))

    def set_routing(self, agent, base, version, body, digest, wait_ms):
        self.calls.append(wait_ms)
        race, self.race = self.race, None
        if race is not None:
            apply_operation(self.ledger, 0, (), (), race)
        verdict = apply_operation(self.ledger, 0, (), (), SetRouting(base, version, body, digest, 1000))
        return succeed(Ok(version) if isinstance(verdict, RoutingSet) else Error(verdict))

    def wait_until_honoured(self, agent, version, wait_ms):
        self.waited.append(version)
        return succeed(Ok(version))

    def retire(self, agent, name, wait_ms):
        return succeed(
            Error(Unavailable(100)) if self.down else Ok(SimpleNamespace(state=self.states.get(name, "unknown")))
        )

    read_retirement = retire


@pytest.fixture
def ring(monkeypatch):
    found = Ring()
    monkeypatch.setattr(control, "control_client", lambda: found)
    return found


def ask(method, what, document=None, base=None, raw=None):
    clock = Clock()
    channel = control.make_server(AgentContext(None, clock, "a", Machine(seconds=clock.seconds))).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    body = raw if raw is not None else b"" if document is None else json.dumps(document).encode()
    head = b"%s /frostpost/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % (
        method.encode(),
        what.encode(),
        len(body),
    )
    channel.dataReceived(
        head + (b"" if base is None else b"X-Base-Revision: %s\r\n" % str(base).encode("latin-1")) + b"\r\n" + body
    )
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def whole(issue, **changes):
    return {"issue": issue, "route-table": [ROUTE], "service-table": SERVICES, "odd": 1.5, **changes}


def replace(document, base):
    return ask("POST", "Configuration.Replace", document, base)[0]


def modify(document, base):
    return ask("POST", "Configuration.Modify", document, base)[0]


def set_order(document, base):
    """A change that another daemon hands in."""
    digest = routing.request_digest("replace", document)
    return SetRouting(base, document["issue"], routing.encode_body(document), digest, 1000)


def held():
    status, body = ask("GET", "Configuration.Query")
    return json.loads(body) if status == 200 else status


def test_a_configuration_is_taken_read_back_and_taken_again(ring):
    assert held() == {"issue": 0, "route-table": [], "service-table": []}
    assert replace(whole(7), 0) == 200 and held() == whole(7)
    assert replace(whole(7), 0) == 200 and ring.waited == [7]
    assert replace(whole(7, odd=2), 0) == 412 and replace(whole(9), 0) == 412


def test_a_change_is_merged_with_what_is_held(ring):
    replace(whole(7), 0)
    change = {"issue": 9, "upsert": {"route-table": [{**ROUTE, "name": "r2", "path-prefix": "/y/"}]}}
    assert modify(change, 7) == 200 and modify(change, 7) == 200
    assert [route["name"] for route in held()["route-table"]] == ["r1", "r2"]
    assert (held()["issue"], held()["odd"]) == (9, 1.5)
    assert modify({**change, "remove": {}}, 7) == 412
    assert routing.routing_from_body(ring.body).version == 9


def test_a_change_taken_earlier_is_still_acknowledged(ring):
    replace(whole(7), 0)
    assert modify({"issue": 9, "remove": {"route-table": ["r1"]}}, 7) == 200
    assert replace(whole(7), 0) == 200 and held()["issue"] == 9 and ring.waited == [7]


@pytest.mark.parametrize(
    "document,base",
    [
        (whole(7), 7),
        (whole(6), 7),
        (whole(8, **{"route-table": [{**ROUTE, "guard-ms": 0}]}), 7),
        ({}, 7),
        (whole(8), None),
    ],
)
def test_invalid_configurations_are_not_taken(ring, document, base):
    replace(whole(7, odd=0), 0)
    assert replace(document, base) == 400 and held() == whole(7, odd=0)


def test_invalid_changes_are_not_taken(ring):
    replace(whole(7), 0)
    assert modify({"issue": 8, "remove": {"service-table": ["s1"]}}, 7) == 400
    assert modify({"issue": 7}, 7) == 400 and modify({"upsert": {}}, 7) == 400
    assert ask("POST", "Configuration.Replace", raw=b'{"issue":', base=7)[0] == 400
    assert held() == whole(7)


def test_of_two_changes_at_once_one_wins(ring):
    replace(whole(7), 0)
    ring.race = set_order(whole(8), 7)
    assert replace(whole(9), 7) == 412 and held() == whole(8)


def test_the_same_change_at_two_daemons_at_once_is_acknowledged_by_both(ring):
    replace(whole(7), 0)
    ring.race = set_order(whole(9), 7)
    assert replace(whole(9), 7) == 200 and held() == whole(9)


def test_a_change_taken_hundreds_of_changes_ago_is_still_acknowledged(ring):
    sent = [(whole(7), 0), *((whole(issue), issue - 1) for issue in range(8, 600))]
    assert {replace(*order) for order in sent} == {200}
    assert {replace(*order) for order in sent[::50]} == {200} and held()["issue"] == 599
    assert replace(whole(8, odd=2), 7) == 412


def test_a_change_of_a_forgotten_number_is_left_unclear(ring, monkeypatch):
    monkeypatch.setattr(accepted_changes, "MAX_RETAINED_CHANGES", 3)
    for issue in range(7, 12):
        assert replace(whole(issue), issue - 1 if issue > 7 else 0) == 200
    assert [replace(whole(issue), issue - 1 if issue > 7 else 0) for issue in range(7, 12)] == [503, 503, 200, 200, 200]
    assert replace(whole(12), 10) == 412


def test_the_same_change_on_top_of_another_version_is_another_change(ring):
    replace(whole(7), 0)
    replace(whole(8), 7)
    change = {"issue": 9, "remove": {"route-table": ["r1"]}}
    assert modify(change, 8) == 200 and modify(change, 8) == 200 and modify(change, 7) == 412


@pytest.mark.parametrize("issue", [1 << 63, 10**30])
def test_a_number_that_no_ledger_holds_is_invalid(ring, issue):
    assert replace(whole(issue), 0) == 400 and modify({"issue": issue}, 0) == 400


@pytest.mark.parametrize("base", ["9" * 5000, "\xb2", "-1", "", "1 2"])
def test_a_base_that_is_no_number_is_invalid(ring, base):
    assert ask("POST", "Configuration.Replace", whole(7), base)[0] == 400


def test_calls_wait_well_inside_the_silence_that_callers_bear(ring):
    replace(whole(7), 0)
    held()
    assert len(ring.calls) == 3 and max(ring.calls) <= control.CALLER_TIMEOUT_MS * control.RESPONSE_RATIO


def test_without_the_ring_the_answer_is_to_come_back(ring):
    ring.down = True
    assert replace(whole(7), 0) == 503 and held() == 503
    assert ask("GET", "Retire.Query/s1")[0] == 503


@pytest.mark.parametrize("state,status", [("in_service", 200), ("completed", 200), ("unknown", 404), ("few", 409)])
def test_emptying_a_machine(ring, state, status):
    ring.states["storage-a-1"] = state
    assert ask("POST", "Retire.Initiate/storage-a-1", {"deadline-s": 10})[0] == status
    found, body = ask("GET", "Retire.Query/storage-a-1")
    assert found == status and json.loads(body) == {"state": state}


def test_other_paths_are_not_there(ring):
    for method, what in (("GET", "Configuration.Replace"), ("POST", "Retire.Initiate"), ("GET", "Odd"), ("GET", "")):
        assert ask(method, what)[0] == 404
