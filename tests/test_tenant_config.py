import pytest

from frostpost.tenant_config import body_store
from frostpost.tenant_config.instantiation import merge_patch, validate_template, validate_tenant
from frostpost.testbed.templates import TEMPLATES, TENANTS


def error_paths(result):
    assert result.is_error()
    return {error.path for error in result.error.errors}


def test_example_tenants_are_instantiated():
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
def test_tenant_errors_have_the_path_of_the_field(document, path):
    assert path in error_paths(validate_tenant("t", document, TEMPLATES["clerks"]))


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
def test_template_errors_have_the_path_of_the_field(route, path):
    assert path in error_paths(validate_template({"routes": {"l": route}}, []))


def test_template_that_invalidates_a_tenant_is_rejected():
    template = dict(TEMPLATES["clerks"], parameters={})
    routes = {n: {k: v for k, v in route.items() if not isinstance(v, dict)} for n, route in template["routes"].items()}
    template["routes"] = routes
    assert "/tenants/hlidar/parameters/retention_ms" in error_paths(
        validate_template(template, [("hlidar", TENANTS["hlidar"])])
    )


@pytest.mark.parametrize(
    "document,change,patched",
    [
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_merge_patch_follows_rfc_7386(document, change, patched):
    assert merge_patch(document, change) == patched


def test_store_fetches_missing_bodies_in_chunks():
    source, replica = body_store.BodyStore("a.1", chunk_bytes=10), body_store.BodyStore("b.2", chunk_bytes=10)
    source, write = body_store.new_body(source, b"x" * 35)
    source = body_store.record_stored(source, write.item, write.body, 0)
    messages = [("a.1", body) for _, body in body_store.request_versions(replica, "a.1", source.vector)]
    fetched, deliveries = [], 0
    while messages:
        deliveries += 1
        target, body = messages.pop(0)
        if isinstance(body, body_store.ConfigVersionsRequest):
            messages += [("b.2", reply) for _, reply in body_store.answer_versions(source, "b.2", body)]
        elif isinstance(body, body_store.ConfigVersionsReply):
            replica, replies, _ = body_store.request_bodies(replica, "a.1", body, 0)
            messages += [("a.1", reply) for _, reply in replies]
        elif isinstance(body, body_store.ConfigBodyRequest):
            messages += [("b.2", reply) for _, reply in body_store.answer_body(source, "b.2", body)]
        else:
            replica, replies, writes = body_store.receive_chunk(replica, "a.1", body, 0)
            messages += [("a.1", reply) for _, reply in replies]
            fetched += writes
    assert [body_write.body for body_write in fetched] == [b"x" * 35] and deliveries == 10
    replica = body_store.record_stored(replica, fetched[0].item, fetched[0].body, 0)
    assert replica.vector == source.vector and body_store.request_versions(replica, "a.1", source.vector) == []
    replica, removed = body_store.prune(replica, set())
    assert removed and replica.vector == source.vector
