"""Guards against requests that run for nobody or for the wrong tenant, from the client's bytes to the runner's."""

import json

import pytest
from test_platform_path import RequestPath, response_bytes

from frostpost.platform import document_changes, routing
from frostpost.program_ledger.key_messages import ClaimOperationKey
from frostpost.program_ledger.messages import BeginAttempt
from frostpost.proxy.models import Tenant

KEY, OTHER_KEY = b"m82thhkmgjqnirth5mgj", b"y5rcpihhacruddedev3n"
KNOWN = b"Authorization: Bearer " + KEY + b"\r\n"
DOCUMENT = {
    "issue": 7,
    "route-table": [
        {"name": "r", "host": "h", "path-prefix": "/a/", "route-class": "unsafe", "guard-ms": 900, "target": "s"}
    ],
    "service-table": [{"name": "s", "max-connections": 9}],
    "subscribers": [
        {"name": "acme", "credentials": [KEY.decode()], "precedence": 1},
        {"name": "bolt", "credentials": [OTHER_KEY.decode()], "precedence": 0},
    ],
}


def tenants_of(**changes):
    return routing.parse_document(json.dumps({**DOCUMENT, **changes}).encode()).ok[1].tenants


def open_path(monkeypatch, tenants="document", **route):
    path = RequestPath(monkeypatch, **route)
    agent = path.harness.agent
    agent.routing = type(agent.routing)(
        agent.routing.version,
        agent.routing.routes,
        agent.routing.services,
        tenants=tenants_of() if tenants == "document" else tenants,
    )
    return path


def sent_head(path, headers):
    connection = path.send_request(headers=headers)
    return None if connection is None else connection.transport.value().partition(b"\r\n\r\n")[0]


@pytest.mark.parametrize("kind", ["safe", "unsafe", "idempotent", "streaming"])
def test_runner_sees_the_tenant_and_never_the_credential(monkeypatch, kind):
    path = open_path(monkeypatch, kind=kind)
    head = sent_head(
        path, KNOWN + b"x-SUBSCRIBER: evil\r\nX-Subscriber: worse\r\nConnection: x-subscriber\r\nX-Operation-Key: k\r\n"
    )
    assert head.count(b"X-Subscriber: acme") == 1
    assert b"evil" not in head and b"worse" not in head and KEY not in head and b"uthorization" not in head


@pytest.mark.parametrize(
    "headers",
    [
        b"",
        b"Authorization: Bearer unknown\r\n",
        b"Authorization: Bearer\r\n",
        b"Authorization: Bearer \r\n",
        b"Authorization: Basic " + KEY + b"\r\n",
        b"Authorization: " + KEY + b"\r\n",
        b"Authorization: Bearer " + KEY + b" " + KEY + b"\r\n",
        b"X-Subscriber: acme\r\n",
    ],
)
def test_request_without_a_known_credential_is_refused_and_not_run(monkeypatch, headers):
    path = open_path(monkeypatch)
    assert sent_head(path, headers) is None
    response = path.take_response()
    assert response.startswith(b"HTTP/1.1 401 ") and b"WWW-Authenticate: Bearer" in response


def test_ambiguous_credentials_are_refused(monkeypatch):
    path = open_path(monkeypatch)
    assert sent_head(path, KNOWN + b"Authorization: Bearer " + OTHER_KEY + b"\r\n") is None
    assert path.take_response().startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize("headers,tenant", [(b"", None), (b"Authorization: Bearer x\r\n", None), (KNOWN, b"acme")])
def test_keyless_route_needs_no_credential_and_still_hides_it(monkeypatch, headers, tenant):
    head = sent_head(open_path(monkeypatch, is_keyless=True), headers + b"X-Subscriber: evil\r\n")
    assert b"uthorization" not in head and b"evil" not in head
    assert (b"X-Subscriber" in head) == (tenant is not None) and (tenant or b"") in head


def test_without_tenants_no_credential_is_required(monkeypatch):
    head = sent_head(open_path(monkeypatch, tenants=None), KNOWN + b"X-Subscriber: evil\r\n")
    assert b"X-Subscriber" not in head and KEY not in head


def test_document_without_any_credential_admits_nobody(monkeypatch):
    path = open_path(monkeypatch, tenants=tenants_of(subscribers=[]))
    assert sent_head(path, KNOWN) is None and path.take_response().startswith(b"HTTP/1.1 401 ")


def test_credential_is_refused_once_removed_on_an_open_connection(monkeypatch):
    path = open_path(monkeypatch)
    connection = path.send_request(headers=KNOWN)
    connection.dataReceived(response_bytes())
    assert path.take_response().startswith(b"HTTP/1.1 200 ")
    change = {"issue": 8, "upsert": {"subscribers": [{"name": "acme", "credentials": []}]}}
    _, changed = routing.validate(document_changes.apply_change(DOCUMENT, change)).ok
    path.harness.agent.routing = changed
    path.send_request(attempt=b"a2", headers=KNOWN)
    assert path.take_response().startswith(b"HTTP/1.1 401 ")


@pytest.mark.parametrize("scheme", [b"bearer", b"BEARER", b"Bearer "])
def test_scheme_is_read_in_any_case(monkeypatch, scheme):
    assert b"X-Subscriber: acme" in sent_head(
        open_path(monkeypatch), b"Authorization: " + scheme + b" " + KEY + b"\r\n"
    )


def test_equal_ids_of_two_tenants_are_different_in_the_ledger(monkeypatch):
    operations = []
    for key in (KEY, OTHER_KEY):
        for kind in ("streaming", "idempotent"):
            path = open_path(monkeypatch, kind=kind, retained=kind == "streaming", retention_ms=9)
            headers = b"Authorization: Bearer " + key + b"\r\nX-Operation-Key: k\r\n"
            path.send_request(headers=headers + b"X-Program-Id: p\r\nX-Previous-Turn: t\r\n")
            operations += path.harness.operations
    begun = [op for op in operations if isinstance(op, BeginAttempt)]
    assert (
        len({op.attempt for op in begun})
        == len({op.program for op in begun})
        == len({op.previous for op in begun})
        == 2
    )
    assert len({(op.key, op.attempt) for op in operations if isinstance(op, ClaimOperationKey)}) == 2


def test_rank_of_the_tenant_comes_before_that_of_the_route(monkeypatch):
    ranks = []
    for key, rank in ((OTHER_KEY, 5), (KEY, 0)):
        path = open_path(monkeypatch, kind="streaming", retained=True, retention_ms=9, rank=rank)
        path.send_request(headers=b"Authorization: Bearer " + key + b"\r\n")
        ranks.append(path.harness.operations[0].rank)
    assert ranks == sorted(ranks) and ranks[0] < ranks[1]


@pytest.mark.parametrize(
    "subscribers",
    [
        None,
        {},
        "acme",
        [7],
        [{"credentials": ["k"]}],
        [{"name": 7, "credentials": ["k"]}],
        [{"name": "a", "credentials": "k"}],
        [{"name": "a", "credentials": [7]}],
        [{"name": "a", "credentials": ["k"], "precedence": "high"}],
        [{"name": "a", "credentials": ["k"]}, {"name": "a", "credentials": []}],
        [{"name": "a", "credentials": ["k", "l"]}, {"name": "b", "credentials": ["l"]}],
    ],
)
def test_unreadable_or_shared_credentials_make_the_document_invalid(subscribers):
    assert routing.parse_document(json.dumps({**DOCUMENT, "subscribers": subscribers}).encode()).is_error()


def test_change_that_shares_a_credential_is_invalid():
    change = {"issue": 8, "upsert": {"subscribers": [{"name": "new", "credentials": [KEY.decode()]}]}}
    assert routing.validate(document_changes.apply_change(DOCUMENT, change)).is_error()


def test_credential_moves_between_tenants_in_one_change():
    subscribers = [{"name": "acme", "credentials": []}, {"name": "bolt", "credentials": [KEY.decode()]}]
    merged = document_changes.apply_change(DOCUMENT, {"issue": 8, "upsert": {"subscribers": subscribers}})
    assert list(routing.validate(merged).ok[1].tenants.values()) == [Tenant("bolt")]


def test_routing_holds_no_credential_in_clear():
    assert KEY.decode() not in str(tenants_of())
