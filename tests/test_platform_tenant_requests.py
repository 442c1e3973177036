"""What a runner gets of a request that bears a tenant's key, judged by the bytes that it received."""

import pytest
from fleet_simulator.tenant_deployment import (
    KEYLESS_PATH,
    ROUTE_PATHS,
    TenantDeployment,
    header_values,
    request_bytes,
    subscriber,
)

KINDS = sorted(ROUTE_PATHS)
FORGED = b"tenant-b"


@pytest.fixture(scope="module")
def deployment():
    return TenantDeployment()


def only_run(deployment, request):
    runs = deployment.runs(request)
    assert request.status == 200 and len(runs) == 1, (request.status, request.got[:80], len(runs))
    return runs[0]


def received_bytes(run):
    return b"".join(name + value for name, value in run.headers) + run.body


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", [b"Authorization", b"authorization", b"AUTHORIZATION"])
def test_key_of_the_client_is_not_passed_on_to_a_runner(deployment, kind, name):
    request = deployment.send(ROUTE_PATHS[kind], key=None, headers=[(name, b"Bearer key-a1")])
    run = only_run(deployment, request)
    assert header_values(run, b"authorization") == [] and b"key-a1" not in received_bytes(run)


@pytest.mark.parametrize("key,tenant", [("key-a1", b"tenant-a"), ("key-a2", b"tenant-a"), ("key-b1", b"tenant-b")])
@pytest.mark.parametrize("kind", KINDS)
def test_runner_is_told_the_tenant_that_holds_the_key(deployment, kind, key, tenant):
    request = deployment.send(ROUTE_PATHS[kind], key=key)
    assert header_values(only_run(deployment, request), b"x-subscriber") == [tenant]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "headers",
    [
        [(b"X-Subscriber", FORGED)],
        [(b"x-subscriber", FORGED)],
        [(b"X-SUBSCRIBER", FORGED)],
        [(b"X-Subscriber", FORGED), (b"X-Subscriber", FORGED)],
        [(b"X-Subscriber", b"tenant-a"), (b"x-subscriber", FORGED)],
        [(b"X-Subscriber", FORGED), (b"Connection", b"X-Subscriber")],
        [(b"Connection", b"close, x-subscriber"), (b"X-Subscriber", FORGED)],
    ],
    ids=[
        "as written",
        "lower case",
        "upper case",
        "repeated",
        "repeated otherwise",
        "in Connection",
        "after Connection",
    ],
)
def test_subscriber_that_the_client_names_does_not_reach_a_runner(deployment, kind, headers):
    request = deployment.send(ROUTE_PATHS[kind], headers=headers)
    assert FORGED not in header_values(only_run(deployment, request), b"x-subscriber")


def test_subscriber_in_the_trailer_of_a_chunked_body_does_not_reach_a_runner(deployment):
    request = deployment.request(ROUTE_PATHS["unsafe"])
    body = b"5\r\ninput\r\n0\r\nX-Subscriber: tenant-b\r\n\r\n"
    deployment.send_bytes(request, request_bytes(request, body, [(b"Transfer-Encoding", b"chunked")]))
    assert FORGED not in header_values(only_run(deployment, request), b"x-subscriber")


@pytest.mark.parametrize(
    "line",
    [b"X-Subscriber : tenant-b", b"X-Other: a\r\n X-Subscriber: tenant-b", b"X-Other: a\r\n\tX-Subscriber: tenant-b"],
)
def test_oddly_written_subscriber_line_does_not_reach_a_runner(deployment, line):
    request = deployment.request(ROUTE_PATHS["unsafe"])
    data = request_bytes(request).replace(b"Content-Length", line + b"\r\nContent-Length")
    deployment.send_bytes(request, data)
    assert request.status in (200, 400)
    assert [
        v for run in deployment.runs(request) for v in header_values(run, b"x-subscriber") if v != b"tenant-a"
    ] == []


@pytest.mark.parametrize("value", [b"authorization", b"Authorization, close", b"X-Subscriber, Authorization"])
def test_key_that_the_connection_header_names_still_identifies_its_tenant(deployment, value):
    run = only_run(deployment, deployment.send(ROUTE_PATHS["unsafe"], headers=[(b"Connection", value)]))
    assert header_values(run, b"x-subscriber") == [b"tenant-a"] and b"key-a1" not in received_bytes(run)


@pytest.mark.parametrize("second", [b"Bearer key-b1", b"Bearer key-a1", b"Bearer unknown", b"Basic abc"])
def test_request_with_two_keys_runs_for_no_tenant(deployment, second):
    request = deployment.send(ROUTE_PATHS["unsafe"], headers=[(b"authorization", second)])
    assert request.status in (400, 401) and deployment.runs(request) == []


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Authorization", b"Bearer key-a1")],
        [(b"X-Subscriber", FORGED)],
        [(b"Authorization", b"Bearer key-a1"), (b"x-SUBSCRIBER", FORGED)],
        [],
    ],
    ids=["key", "subscriber", "both", "neither"],
)
def test_keyless_route_passes_on_neither_the_key_nor_the_subscriber_of_the_client(deployment, headers):
    run = only_run(deployment, deployment.send(KEYLESS_PATH, key=None, headers=headers))
    assert header_values(run, b"authorization") == [] and b"key-a1" not in received_bytes(run)
    assert FORGED not in header_values(run, b"x-subscriber")


def test_each_request_of_a_connection_runs_for_the_tenant_of_its_own_key(deployment):
    connection, received = deployment.connect(), []
    for key in ("key-a1", "key-b1", "key-a2"):
        request = deployment.finish(deployment.begin(ROUTE_PATHS["unsafe"], key, connection=connection))
        received += header_values(only_run(deployment, request), b"x-subscriber")
    assert received == [b"tenant-a", b"tenant-b", b"tenant-a"]


def set_odds(deployment, service, odds):
    for runner in deployment.world.runners.values():
        if runner.service == service:
            runner.odds = odds


SERVICES = {"safe": "tools", "unsafe": "tools", "idempotent": "tools", "streaming": "model2", "turn": "model"}


@pytest.mark.parametrize("kind", KINDS)
def test_request_sent_again_after_a_refusal_bears_its_tenant_and_no_key(kind):
    deployment = TenantDeployment()
    set_odds(deployment, SERVICES[kind], {"shed": 0.5})
    requests = [deployment.send(ROUTE_PATHS[kind], headers=[(b"X-Subscriber", FORGED)]) for _ in range(12)]
    refused = {try_id for try_id, _ in deployment.world.notes.refusals}
    runs = [run for request in requests if request.try_id in refused for run in deployment.runs(request)]
    assert runs and all(request.status in (200, 503) for request in requests)
    assert {tuple(header_values(run, b"x-subscriber")) for run in runs} == {(b"tenant-a",)}
    assert [run.try_id for run in runs if b"key-a1" in received_bytes(run)] == []


def test_stream_resumed_at_another_runner_bears_its_tenant_and_no_key():
    deployment, resumed = TenantDeployment(), []
    set_odds(deployment, "model2", {"cut": 0.6})
    for _ in range(12):
        runs = deployment.runs(deployment.send(ROUTE_PATHS["streaming"], headers=[(b"X-Subscriber", FORGED)]))
        resumed += runs[1:]
    assert resumed and any(run.last_event for run in resumed)
    assert {tuple(header_values(run, b"x-subscriber")) for run in resumed} == {(b"tenant-a",)}
    assert [run.try_id for run in resumed if b"key-a1" in received_bytes(run)] == []


def test_key_that_moved_to_another_tenant_runs_for_its_new_one():
    deployment = TenantDeployment()
    moved = [subscriber("tenant-a", ["key-a2"]), subscriber("tenant-b", ["key-b1", "key-a1"])]
    assert deployment.modify(upsert={"subscribers": moved}) == 200
    for edge in range(len(deployment.world.of("edge"))):
        run = only_run(deployment, deployment.send(ROUTE_PATHS["unsafe"], edge=edge))
        assert header_values(run, b"x-subscriber") == [b"tenant-b"]
