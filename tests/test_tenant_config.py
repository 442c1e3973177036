import pytest

from frostpost.tenant_config import body_store as shelves
from frostpost.tenant_config.instantiation import merge_patch, validate_template, validate_tenant
from frostpost.testbed.templates import TEMPLATES, TENANTS


def errors_of(result):
    assert result.is_error()
    return {f.path for f in result.error.errors}


def test_both_deployments_stamp():
    for name, tenant in TENANTS.items():
        routes = validate_tenant(name, tenant, TEMPLATES[tenant["template"]])
        assert routes.is_ok() and len(routes.ok) == 5
    routes = validate_tenant("hlidar", TENANTS["hlidar"], TEMPLATES["clerks"]).ok
    assert routes["check"].retention_ms == 900000 and routes["flags"].repeat == "free"


@pytest.mark.parametrize(
    "document,path",
    [
        ({"template": "clerks", "parameters": {"retention_ms": 1}}, "/parameters/retention_ms"),
        ({"template": "clerks", "parameters": {"nope": 1}}, "/parameters/nope"),
        ({"template": "clerks", "extra": 1}, "/extra"),
        ({"parameters": {}}, "/template"),
        ({"template": "clerks", "parameters": {"audit_urgency": "urgent"}}, "/parameters/audit_urgency"),
    ],
)
def test_tenant_faults_name_their_path(document, path):
    assert path in errors_of(validate_tenant("t", document, TEMPLATES["clerks"]))


@pytest.mark.parametrize(
    "route,path",
    [
        ({"kind": "walk", "pools": ["p"]}, "/routes/l/kind"),
        ({"kind": "turn"}, "/routes/l/pools"),
        ({"kind": "turn", "pools": ["p"], "deadline_ms": 0}, "/routes/l/deadline_ms"),
        ({"kind": "turn", "pools": ["p"], "retention_ms": {"$param": "absent"}}, "/routes/l/retention_ms"),
        ({"kind": "lookup", "pools": ["p"], "key_window_ms": 1000}, "/routes/l/key_window_ms"),
    ],
)
def test_template_faults_name_their_path(route, path):
    assert path in errors_of(validate_template({"routes": {"l": route}}, []))


def test_template_that_breaks_a_tenant_is_turned_away():
    template = dict(TEMPLATES["clerks"], parameters={})
    routes = {n: {k: v for k, v in route.items() if not isinstance(v, dict)} for n, route in template["routes"].items()}
    template["routes"] = routes
    assert "/tenants/hlidar/parameters/retention_ms" in errors_of(
        validate_template(template, [("hlidar", TENANTS["hlidar"])])
    )


@pytest.mark.parametrize(
    "held,change,after",
    [
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_patch_merges_as_rfc_7386(held, change, after):
    assert merge_patch(held, change) == after


def test_shelf_pulls_what_it_lacks_in_pieces():
    told, asker = shelves.BodyStore("a.1", chunk_bytes=10), shelves.BodyStore("b.2", chunk_bytes=10)
    told, store = shelves.new_body(told, b"x" * 35)
    told = shelves.record_stored(told, store.item, store.body, 0)
    wire = [("a.1", body) for _, body in shelves.request_versions(asker, "a.1", told.vector)]
    pulled, hops = [], 0
    while wire:
        hops += 1
        to, body = wire.pop(0)
        if isinstance(body, shelves.ConfigVersionsRequest):
            wire += [("b.2", b) for _, b in shelves.answer_versions(told, "b.2", body)]
        elif isinstance(body, shelves.ConfigVersionsReply):
            asker, sends, _ = shelves.request_bodies(asker, "a.1", body, 0)
            wire += [("a.1", b) for _, b in sends]
        elif isinstance(body, shelves.ConfigBodyRequest):
            wire += [("b.2", b) for _, b in shelves.answer_body(told, "b.2", body)]
        else:
            asker, sends, stores = shelves.receive_chunk(asker, "a.1", body, 0)
            wire += [("a.1", b) for _, b in sends]
            pulled += stores
    assert [s.body for s in pulled] == [b"x" * 35] and hops == 10
    asker = shelves.record_stored(asker, pulled[0].item, pulled[0].body, 0)
    assert asker.vector == told.vector and shelves.request_versions(asker, "a.1", told.vector) == []
    asker, gone = shelves.prune(asker, set())
    assert gone and asker.vector == told.vector
