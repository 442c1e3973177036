"""Guards against tenants and credentials that the configuration can't distinguish, yet accepts."""

import msgspec
import pytest
from proxy_harness import ProxyHarness, make_route, make_runner
from test_platform_control import FakeControlClient, config, current_config, modify, replace
from test_platform_tenants import DOCUMENT, KNOWN, open_path, sent_head, tenants_of

from frostpost.cluster import lease_client
from frostpost.platform import control, routing
from frostpost.proxy.models import Tenant
from frostpost.virtual_synchrony.agent_messages import RoutingUpdate


def named(name):
    return [{"name": name, "credentials": ["m82thhkmgjqnirth5mgj"], "precedence": 1}]


@pytest.fixture
def configured(monkeypatch):
    client = FakeControlClient()
    monkeypatch.setattr(control, "control_client", lambda: client)
    assert replace(config(7, subscribers=named("acme")), 0) == 200


def test_empty_credential_of_two_tenants_is_refused(configured):
    shared = [{"name": name, "credentials": [""]} for name in ("acme", "bolt")]
    assert replace(config(8, subscribers=shared), 7) == 400 and current_config()["issue"] == 7


@pytest.mark.parametrize("name", ["", " ", "acme ", "\tacme", "acme\r\nX-Attempt-Id: evil", "acme\nbolt", "acme\0"])
def test_tenant_whose_name_cannot_be_told_to_a_runner_is_refused(configured, name):
    assert replace(config(8, subscribers=named(name)), 7) == 400 and current_config()["issue"] == 7


@pytest.mark.parametrize("name", ["acme\r\nX-Smuggled: 1", "acme\n\nGET /evil HTTP/1.1"])
def test_name_of_a_tenant_adds_no_line_to_the_head_that_a_runner_receives(monkeypatch, name):
    path = open_path(monkeypatch, tenants={digest: Tenant(name) for digest in tenants_of()})
    head = sent_head(path, KNOWN)
    assert head is None or b"\n" not in head.replace(b"\r\n", b"") and b"X-Smuggled" not in head


def test_change_whose_subscribers_stand_outside_upsert_is_not_acknowledged(configured):
    change = {"issue": 8, "subscribers": [{"name": "acme", "credentials": []}]}
    status = modify(change, 7)
    assert status == 400 or current_config()["subscribers"] == change["subscribers"]


def test_stored_credential_of_two_tenants_admits_neither():
    subscribers = [{"name": name, "credentials": ["shared"]} for name in ("acme", "bolt")]
    body = routing.encode_body({**DOCUMENT, "subscribers": subscribers})
    assert routing.routing_from_body(body).tenants == {}


def test_stored_subscribers_that_are_null_admit_nobody():
    body = routing.encode_body({**DOCUMENT, "subscribers": None})
    assert routing.routing_from_body(body).tenants is not None


@pytest.mark.parametrize("subscribers", [[{"name": "acme"}], [{"credentials": ["k"]}], "acme", [7]])
def test_stored_subscribers_that_cannot_be_read_are_not_honoured(monkeypatch, subscribers):
    agent = ProxyHarness([make_route()], [make_runner("r1")], monkeypatch).agent
    agent.attachments["routing_from_body"] = routing.routing_from_body
    agent.links["send"] = lambda *_: None
    lease_client.session_of(agent).routing_version = 6
    lease_client.on_routing_update(agent, RoutingUpdate(7, routing.encode_body(DOCUMENT)))
    before = agent.routing
    with pytest.raises(msgspec.ValidationError):
        update = RoutingUpdate(8, routing.encode_body({**DOCUMENT, "subscribers": subscribers}))
        lease_client.on_routing_update(agent, update)
    assert agent.routing is before and lease_client.session_of(agent).routing_version == 7


def test_stored_route_whose_keyless_is_null_is_readable_and_requires_a_credential():
    routes = [{**DOCUMENT["route-table"][0], "keyless": None}]
    stored = routing.routing_from_body(routing.encode_body({**DOCUMENT, "route-table": routes}))
    assert not stored.routes[0].is_keyless
