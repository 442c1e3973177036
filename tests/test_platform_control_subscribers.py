"""Subscribers in the documents and changes that the control interface accepts and refuses."""

import pytest
from test_platform_control import FakeControlClient, config, current_config, modify, replace, send

from frostpost.platform import control

TENANTS = [
    {"name": f"t{number}", "credentials": [f"secret-{number}-a", f"secret-{number}-b"], "precedence": number % 3}
    for number in range(24)
]
SHARED = "secret-0-a"


def tenant(name, *credentials):
    return {"name": name, "credentials": list(credentials), "precedence": 1}


def change(issue, upsert=(), remove=()):
    return {"issue": issue, "upsert": {"subscribers": list(upsert)}, "remove": {"subscribers": list(remove)}}


def current_tenants():
    return {item["name"]: item["credentials"] for item in current_config()["subscribers"]}


@pytest.fixture(autouse=True)
def configured(monkeypatch):
    client = FakeControlClient()
    monkeypatch.setattr(control, "control_client", lambda: client)
    assert replace(config(7, subscribers=TENANTS), 0) == 200


@pytest.mark.parametrize(
    "operation,document",
    [
        ("Replace", config(8, subscribers=[*TENANTS, tenant("new", SHARED)])),
        ("Replace", config(8, subscribers=[tenant("new", "secret", SHARED), *TENANTS])),
        ("Modify", change(8, [tenant("new", "secret", SHARED)])),
        ("Modify", change(8, [tenant("t9", SHARED)])),
        ("Modify", change(8, [tenant("x", "secret"), tenant("y", "secret")])),
        ("Modify", change(8, [tenant("x", SHARED), tenant("y", SHARED)], ["t0"])),
    ],
)
def test_credential_of_two_tenants_is_refused(operation, document):
    status, body = send("POST", f"Configuration.{operation}", document, 7)
    assert (status, current_config()["issue"]) == (400, 7) and b"secret" not in body


@pytest.mark.parametrize(
    "subscribers",
    [
        {},
        {"t": ["secret"]},
        "t",
        1,
        [1],
        ["t"],
        [{}],
        [{"credentials": ["secret"]}],
        [{"name": "t"}],
        [{"name": 1, "credentials": ["secret"]}],
        [{"name": "t", "credentials": "secret"}],
        [{"name": "t", "credentials": {"secret": 1}}],
        [{"name": "t", "credentials": [1]}],
        [{"name": "t", "credentials": [None]}],
        [{"name": "t", "credentials": ["secret"], "precedence": "high"}],
    ],
)
def test_subscribers_that_cannot_be_read_are_refused(subscribers):
    status, body = send("POST", "Configuration.Replace", config(8, subscribers=subscribers), 7)
    assert (status, current_config()["issue"]) == (400, 7) and b"secret" not in body
    assert modify({"issue": 8, "upsert": {"subscribers": subscribers}}, 7) == 400


def test_keyless_that_is_no_truth_value_is_refused():
    for keyless in ("false", 0, [], {}):
        route = {**config(8)["route-table"][0], "keyless": keyless}
        assert replace(config(8, **{"route-table": [route]}), 7) == 400


def test_changes_of_one_tenant_among_dozens_keep_the_others():
    assert modify(change(8, [tenant("t5", "secret-5-b", "secret-5-c")]), 7) == 200
    assert modify(change(9, [tenant("new", "secret")], ["t6"]), 8) == 200
    assert modify(change(12, [tenant("t7")]), 9) == 200
    before = {item["name"]: item["credentials"] for item in TENANTS if item["name"] != "t6"}
    assert current_tenants() == {**before, "t5": ["secret-5-b", "secret-5-c"], "t7": [], "new": ["secret"]}


def test_credential_may_move_to_another_tenant_within_one_change():
    assert modify(change(8, [tenant("t0", "secret-0-b"), tenant("t1", "secret-1-a", SHARED)]), 7) == 200
    assert modify(change(9, [tenant("t2", "secret-2-a", SHARED)], ["t1"]), 8) == 200
    assert current_tenants()["t2"] == ["secret-2-a", SHARED] and "t1" not in current_tenants()


def test_credential_that_was_removed_may_come_back():
    assert modify(change(8, [tenant("t0", "secret-0-b")]), 7) == 200
    assert modify(change(9, [tenant("t3", "secret-3-a", SHARED)]), 8) == 200
    assert replace(config(10, subscribers=TENANTS), 9) == 200 and current_tenants()["t0"] == [
        "secret-0-a",
        "secret-0-b",
    ]
