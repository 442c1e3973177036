import copy
import json

import pytest

from frostpost.platform import document_changes, routing

ROUTE = {
    "name": "r1",
    "host": "A.example",
    "path-prefix": "/x/",
    "route-class": "streaming",
    "guard-ms": 4000,
    "target-latency-ms": 200,
    "precedence": 1,
    "distribution": [{"target": "s1", "share": 90}, {"target": "s2", "share": 10}],
    "max-attempts": 2,
    "retained": True,
    "retention-s": 60.0,
    "resumable": True,
    "gap-target-ms": 250,
    "affinity": True,
}
DOCUMENT = {
    "issue": 7,
    "route-table": [
        ROUTE,
        {
            "name": "r2",
            "host": "a.example",
            "path-prefix": "/y/",
            "route-class": "safe",
            "guard-ms": 900,
            "target": "s2",
        },
    ],
    "service-table": [
        {
            "name": "s1",
            "max-connections": 240,
            "self-dedup": True,
            "odd": [1],
            "engine": {"capacity": 32, "cache-tokens": 9, "event-tokens": 20, "link-mbps": 1.5},
        },
        {"name": "s2", "max-connections": 110},
    ],
    "limits": {"max-header-bytes": 8192, "max-body-bytes": 1000, "header-guard-ms": 2000, "idle-ms": 9000},
    "odd": {"kept": 1.50},
}


def body(**changes):
    return json.dumps({**DOCUMENT, **changes}).encode()


def routes(**changes):
    return [{**ROUTE, **changes}, DOCUMENT["route-table"][1]]


def test_document_is_converted_into_routing():
    document, parsed = routing.parse_document(body()).ok
    assert document == DOCUMENT
    first, second = parsed.routes
    assert (first.host, first.prefix, first.kind, first.timeout_ms, first.target_latency_ms, first.rank) == (
        "a.example",
        "/x/",
        "streaming",
        4000,
        200,
        1,
    )
    assert (
        first.weights,
        first.attempts,
        first.retained,
        first.retention_ms,
        first.resumable,
        first.max_event_gap_ms,
    ) == (
        (("s1", 90), ("s2", 10)),
        2,
        True,
        60000,
        True,
        250,
    )
    assert (second.weights, second.attempts, second.retained, second.target_latency_ms) == ((("s2", 1),), 1, False, 900)
    service = parsed.services["s1"]
    assert (service.max_connections, service.dedupes, service.event_tokens, service.slots, service.cache_tokens) == (
        240,
        True,
        20,
        32,
        9,
    )
    assert (parsed.bounds.header_bytes, parsed.bounds.body_bytes, parsed.bounds.header_ms, parsed.bounds.idle_ms) == (
        8192,
        1000,
        2000,
        9000,
    )
    assert parsed.version == 7


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"7",
        b"\xff\xfe",
        body()[:-1],
        body()[:200],
        body() + b"}",
        b'{"issue":NaN}',
        b'{"issue":1e999}',
        body().replace(b'"issue"', b'"issue": 6, "issue"', 1),
        body().replace(b'"guard-ms"', b'"guard-ms": 1, "guard-ms"', 1),
        b'{"a":' * 100000,
        body(odd="\ud800"),
    ],
    ids=range(13),
)
def test_malformed_json_is_invalid(data):
    assert isinstance(routing.parse_document(data).error, routing.RoutingInvalid)


@pytest.mark.parametrize(
    "changes",
    [
        {"issue": None},
        {"issue": "7"},
        {"issue": 7.5},
        {"issue": True},
        {"issue": 0},
        {"route-table": None},
        {"service-table": {}},
        {"route-table": [7]},
        {"route-table": routes(**{"guard-ms": 0})},
        {"route-table": routes(**{"guard-ms": -1})},
        {"route-table": routes(**{"guard-ms": "9"})},
        {"route-table": routes(**{"guard-ms": None})},
        {"route-table": routes(**{"distribution": [{"target": "s1", "share": 0}, {"target": "s2", "share": 0}]})},
        {"route-table": routes(**{"distribution": []})},
        {"route-table": routes(**{"distribution": None})},
        {"route-table": routes(**{"distribution": [{"target": "s1", "share": -1}, {"target": "s2", "share": 2}]})},
        {"route-table": routes(**{"distribution": [{"target": "gone", "share": 1}]})},
        {"route-table": routes(name="r2")},
        {"route-table": routes(**{"path-prefix": "/y/"})},
        {"route-table": routes(**{"path-prefix": "x/"})},
        {"route-table": routes(**{"path-prefix": "/x"})},
        {"service-table": DOCUMENT["service-table"] + [{"name": "s1", "max-connections": 1}]},
        {"service-table": DOCUMENT["service-table"][:1]},
    ],
    ids=range(23),
)
def test_invalid_documents_are_rejected(changes):
    assert isinstance(routing.parse_document(body(**changes)).error, routing.RoutingInvalid)


def test_change_replaces_adds_and_removes_by_name():
    original = copy.deepcopy(DOCUMENT)
    change = document_changes.parse_change(
        json.dumps(
            {
                "issue": 9,
                "upsert": {"route-table": [{**ROUTE, "guard-ms": 1}, {**ROUTE, "name": "r3", "path-prefix": "/z/"}]},
                "remove": {"route-table": ["r2", "never"], "service-table": []},
            }
        ).encode()
    ).ok
    merged = document_changes.apply_change(DOCUMENT, change)
    assert original == DOCUMENT
    assert [(route["name"], route["guard-ms"]) for route in merged["route-table"]] == [("r1", 1), ("r3", 4000)]
    assert (merged["issue"], merged["odd"], merged["service-table"]) == (9, {"kept": 1.5}, DOCUMENT["service-table"])
    assert routing.validate(merged).ok[1].version == 9


def test_change_may_set_bounds_and_its_result_is_validated():
    merged = document_changes.apply_change(
        DOCUMENT, {"issue": 8, "limits": {"idle-ms": 5}, "remove": {"service-table": ["s2"]}}
    )
    assert merged["limits"] == {"idle-ms": 5}
    assert routing.validate(merged).is_error()


@pytest.mark.parametrize(
    "change",
    [
        {},
        {"issue": "1"},
        {"issue": 9, "upsert": []},
        {"issue": 9, "upsert": {"route-table": [{"host": "a"}]}},
        {"issue": 9, "upsert": {"route-table": [ROUTE, ROUTE]}},
        {"issue": 9, "remove": {"route-table": "r1"}},
    ],
)
def test_invalid_changes_are_rejected(change):
    assert isinstance(document_changes.parse_change(json.dumps(change).encode()).error, routing.RoutingInvalid)


def test_stored_body_round_trips():
    document, parsed = routing.parse_document(body()).ok
    stored = routing.encode_body(document)
    assert json.loads(routing.document_from_body(stored)) == DOCUMENT
    assert routing.routing_from_body(stored) == parsed
    assert routing.routing_from_body(b"").routes == ()


def test_equal_requests_have_equal_digests():
    equal_document = json.loads(json.dumps(DOCUMENT, sort_keys=True))
    assert routing.request_digest("replace", equal_document) == routing.request_digest("replace", DOCUMENT)
    assert routing.request_digest("replace", {**equal_document, "issue": 8}) != routing.request_digest(
        "replace", DOCUMENT
    )
    assert routing.request_digest("modify", equal_document) != routing.request_digest("replace", DOCUMENT)
