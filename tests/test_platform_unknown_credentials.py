"""Guards against requests that run with a credential which no configuration holds, from the document to the runner.

The configuration is sent to the control API, and its stored body is what the edge puts into force.
"""

import pytest
from test_platform_control import FakeControlClient, send
from test_platform_path import RequestPath, response_bytes

from frostpost.cluster import lease_client, lease_waiters
from frostpost.platform import control, listening
from frostpost.virtual_synchrony.agent_messages import RoutingUpdate

KEY, SECOND_KEY, UNKNOWN_KEY = "first-key-of-tenant1", "second-key-of-tenant1", "key-of-nobody"
SUBSCRIBERS = [{"name": "tenant1", "credentials": [KEY, SECOND_KEY], "precedence": 1}]
KINDS = ["safe", "unsafe", "idempotent", "streaming"]
REFUSED_AS_UNAUTHENTICATED, REFUSED_AS_MALFORMED = b"HTTP/1.1 401 ", b"HTTP/1.1 400 "


def bearer(key, scheme="Bearer"):
    return f"Authorization: {scheme} {key}\r\n".encode()


def make_document(issue=7, subscribers=SUBSCRIBERS, **route):
    route = {
        "name": "r",
        "host": "h",
        "path-prefix": "/a/",
        "route-class": "unsafe",
        "guard-ms": 5000,
        "target": "s",
        "keyless": False,
        **route,
    }
    document = {"issue": issue, "route-table": [route], "service-table": [{"name": "s", "max-connections": 8}]}
    return document if subscribers is None else {**document, "subscribers": subscribers}


class Deployment:
    """A control API, an edge that puts into force what the API stored, a client of the edge and a runner."""

    def __init__(self, monkeypatch, **document):
        self.control = FakeControlClient()
        monkeypatch.setattr(control, "control_client", lambda: self.control)
        monkeypatch.setattr(lease_client, "send_lease_requests", lambda agent: None)
        self.path = RequestPath(monkeypatch)
        self.agent = self.path.harness.agent
        self.agent.attachments["routing_from_body"] = listening.routing_from_body
        self.replace(make_document(**document))

    def replace(self, document, base=0):
        """Send a configuration and put into force what is stored then. Returns the status of the response."""
        status, _ = send("POST", "Configuration.Replace", document, base)
        self.put_into_force()
        return status

    def put_into_force(self):
        """Pass the stored configuration to the edge, as the sequencer does."""
        ledger = self.control.ledger
        lease_client.on_routing_update(self.agent, RoutingUpdate(ledger.routing_version, ledger.routing_body))

    def restart(self):
        """Take the configuration away from the edge, as after the start of its process."""
        self.agent.routing, self.agent.routing_body = None, b""
        lease_client.session_of(self.agent).routing_version = 0

    def request(self, headers=b"", attempt=b"a1"):
        """Send a request on a new connection. Returns (bytes at the runner, bytes at the client)."""
        self.path.connect_client()
        runner = self.path.send_request(attempt, headers=headers + b"X-Operation-Key: k\r\n")
        if runner is None:
            return b"", self.path.take_response()
        received = runner.transport.value()
        runner.dataReceived(response_bytes(attempt=attempt))
        return received, self.path.take_response()


def assert_refused(deployment, headers, *responses):
    received, response = deployment.request(headers)
    assert (received, response.startswith(responses)) == (b"", True), response[:80]


def assert_runs_for(deployment, headers, tenant):
    received, response = deployment.request(headers)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert b"authorization" not in received.lower()
    assert received.lower().count(b"\r\nx-subscriber:") == 1
    assert b"\r\nX-Subscriber: %s\r\n" % tenant in received


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "key",
    [UNKNOWN_KEY, KEY[:-1], KEY + "x", KEY.upper(), "tenant1", "\xe9" * 20],
    ids=["random", "prefix", "longer", "upper", "tenant", "latin1"],
)
def test_unknown_key_runs_nowhere(monkeypatch, kind, key):
    deployment = Deployment(monkeypatch, **{"route-class": kind})
    assert_refused(deployment, f"Authorization: Bearer {key}\r\n".encode("latin-1"), REFUSED_AS_UNAUTHENTICATED)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "headers", [b"", b"Authorization: \r\n", b"Authorization: Bearer\r\n", b"X-Subscriber: tenant1\r\n"]
)
def test_request_without_a_key_runs_nowhere(monkeypatch, kind, headers):
    assert_refused(Deployment(monkeypatch, **{"route-class": kind}), headers, REFUSED_AS_UNAUTHENTICATED)


@pytest.mark.parametrize(
    "value", [f"Basic {KEY}", f"Token {KEY}", KEY, f"Bearer{KEY}", f"Bearer {KEY} {KEY}", f"Bearer,{KEY}"]
)
def test_known_key_in_another_scheme_runs_nowhere(monkeypatch, value):
    headers = f"Authorization: {value}\r\n".encode()
    assert_refused(Deployment(monkeypatch), headers, REFUSED_AS_UNAUTHENTICATED)


@pytest.mark.parametrize("keys", [(KEY, UNKNOWN_KEY), (UNKNOWN_KEY, KEY), (KEY, SECOND_KEY)])
def test_two_authorization_headers_run_nowhere(monkeypatch, keys):
    headers = bearer(keys[0]) + bearer(keys[1]).replace(b"Authorization", b"authorization")
    assert_refused(Deployment(monkeypatch), headers, REFUSED_AS_UNAUTHENTICATED, REFUSED_AS_MALFORMED)


@pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER"])
@pytest.mark.parametrize("key", [KEY, SECOND_KEY])
def test_known_key_runs_for_its_tenant_in_any_letter_case_of_the_scheme(monkeypatch, scheme, key):
    assert_runs_for(Deployment(monkeypatch), bearer(key, scheme), b"tenant1")


def test_key_of_a_refused_configuration_stays_unknown(monkeypatch):
    deployment = Deployment(monkeypatch)
    changed = make_document(9, [{"name": "tenant1", "credentials": [KEY, UNKNOWN_KEY]}])
    assert deployment.replace(changed, base=6) == 412
    assert_refused(deployment, bearer(UNKNOWN_KEY), REFUSED_AS_UNAUTHENTICATED)


def test_key_is_unknown_until_the_version_that_adds_it(monkeypatch):
    deployment = Deployment(monkeypatch)
    assert_refused(deployment, bearer(UNKNOWN_KEY), REFUSED_AS_UNAUTHENTICATED)
    added = [*SUBSCRIBERS, {"name": "tenant2", "credentials": [UNKNOWN_KEY]}]
    assert deployment.replace(make_document(9, added), base=7) == 200
    assert_runs_for(deployment, bearer(UNKNOWN_KEY), b"tenant2")


def test_unknown_key_of_a_request_that_waits_for_the_first_routing_runs_nowhere(monkeypatch):
    deployment = Deployment(monkeypatch)
    deployment.restart()
    assert deployment.request(bearer(UNKNOWN_KEY)) == (b"", b"")
    deployment.put_into_force()
    lease_waiters.wake_lease_waiters(deployment.agent)
    assert deployment.path.harness.reactor.tcpClients == []
    assert deployment.path.take_response().startswith(REFUSED_AS_UNAUTHENTICATED)


@pytest.mark.parametrize("kind", KINDS)
def test_keyless_route_runs_without_a_key(monkeypatch, kind):
    received, response = Deployment(monkeypatch, keyless=True, **{"route-class": kind}).request()
    assert received.startswith(b"POST /a/x HTTP/1.1\r\n") and response.startswith(b"HTTP/1.1 200 ")


def test_keyless_route_forwards_no_tenant_that_the_client_names(monkeypatch):
    headers = b"X-Subscriber: tenant1\r\nx-subscriber: tenant2\r\nConnection: X-Subscriber\r\n"
    received, _ = Deployment(monkeypatch, keyless=True).request(headers)
    assert received and b"x-subscriber" not in received.lower()


@pytest.mark.parametrize("headers", [b"", bearer(UNKNOWN_KEY)])
def test_configuration_without_subscribers_asks_for_no_key(monkeypatch, headers):
    received, response = Deployment(monkeypatch, subscribers=None).request(headers)
    assert received.startswith(b"POST /a/x HTTP/1.1\r\n") and response.startswith(b"HTTP/1.1 200 ")
