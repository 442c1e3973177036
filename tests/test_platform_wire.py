import json
import re
from pathlib import Path

import pytest
from msgspec import structs

from frostpost.platform import runner_list
from frostpost.platform.runner_protocol import make_wire
from frostpost.proxy.models import Call, Runner

ROOT = Path(__file__).parent.parent
PLATFORM_NAMES = [
    "X-Attempt-Id",
    "X-Time-Remaining",
    "X-Operation-Key",
    "X-Target-Instance",
    "X-Server-Seal",
    "X-Not-Executed",
    "X-Instance-Load",
    "X-Instance-Id",
    "X-Program-Id",
    "X-Session-Id",
    "X-Program-Deadline",
    "X-Token-Budget",
    "X-Token-Count",
    "X-Prompt-Prefix",
    "X-Previous-Turn",
    "X-Base-Revision",
    "X-Subscriber",
    "Configuration.Replace",
    "Configuration.Modify",
    "Configuration.Query",
    "Retire.Initiate",
    "Retire.Query",
    "FROSTPOST_BOOT",
    "route-table",
    "service-table",
    "guard-ms",
    "path-prefix",
    "route-class",
    "port-range",
    "bind-addresses",
    "initial-start",
    "machine-class",
    "page-token",
    "next-token",
    "cloud-api",
    "data-dir",
    "self-dedup",
    "token-budget",
    "target-latency-ms",
    "gap-target-ms",
    "retention-s",
    "catch-up-s",
    "frostpost/readiness",
]
RUNNER = Runner(id="i-1", service="s1", host="10.0.0.1", port=80, zone="a", slots=4)
CALL = Call(
    attempt="a1",
    method=b"GET",
    uri=b"/x/1",
    host="a.example",
    body=b"",
    started_ms=0,
    deadline_ms=900,
    headers=[
        (b"X-Attempt-Id", b"a1"),
        (b"X-Time-Remaining", b"900"),
        (b"X-Previous-Turn", b"a0"),
        (b"Accept", b"a"),
        (b"Accept", b"b"),
        (b"Last-Event-Id", b"3"),
        (b"X-Target-Instance", b"evil"),
    ],
)


def read_head(status, **headers):
    return make_wire().read_head(status, [(name.replace("_", "-").encode(), value) for name, value in headers.items()])


def test_request_has_the_calls_headers_time_remaining_and_runner_id():
    assert make_wire().request_headers(CALL, RUNNER, 850.7) == [
        (b"X-Attempt-Id", b"a1"),
        (b"X-Previous-Turn", b"a0"),
        (b"Accept", b"a"),
        (b"Accept", b"b"),
        (b"Last-Event-Id", b"3"),
        (b"X-Time-Remaining", b"850"),
        (b"X-Target-Instance", b"i-1"),
    ]


def test_resumed_stream_has_its_last_event_id_and_remaining_time_is_not_negative():
    headers = make_wire().request_headers(structs.replace(CALL, last_event_id="12"), RUNNER, -5)
    assert [value for name, value in headers if name == b"Last-Event-Id"] == [b"12"]
    assert (b"X-Time-Remaining", b"0") in headers


def test_response_header_is_parsed():
    head = read_head(
        200,
        X_Attempt_Id=b"a1",
        X_Server_Seal=b"s",
        X_Instance_Load=b"3,0,8",
        X_Instance_Id=b"i-1",
        Connection=b"close, X-Hop, Odd",
        Keep_Alive=b"timeout=5, max=9",
        Content_Length=b"4",
        Odd=b"1",
        ETag=b"e",
    )
    assert (head.status, head.attempt, head.sealed, head.not_executed, head.instance) == (200, "a1", True, False, "i-1")
    assert (head.load, head.close, head.keep_alive_ms) == ((3, 0, 8), True, 5000)
    assert [name for name, _ in head.headers] == [
        b"X-Attempt-Id",
        b"X-Server-Seal",
        b"X-Instance-Load",
        b"X-Instance-Id",
        b"ETag",
    ]


def test_only_421_and_x_not_executed_mean_not_executed():
    assert read_head(503, X_Not_Executed=b"1").not_executed and read_head(421).not_executed
    assert not read_head(503).not_executed and not read_head(500).not_executed


@pytest.mark.parametrize("seals", [[], [b""], [b"s", b"t"], [b"s", b"s"]])
def test_only_a_single_non_empty_seal_counts(seals):
    assert not make_wire().read_head(200, [(b"X-Server-Seal", seal) for seal in seals]).sealed


def test_repeated_attempt_id_matches_no_attempt():
    head = make_wire().read_head(200, [(b"X-Attempt-Id", b"a1"), (b"x-attempt-id", b"a0")])
    assert head.attempt not in ("", "a0", "a1")


@pytest.mark.parametrize("value", [b"", b"1,2", b"a,b,c", b"-1,0,8"])
def test_invalid_load_is_ignored(value):
    assert read_head(200, X_Instance_Load=value).load is None


def test_list_entries_are_converted_into_runners():
    valid_entry = {
        "target": "s1",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "capacity": 32,
        "state": "available",
        "id": "i-7",
        "new": 1,
    }
    invalid_entries = [
        {},
        None,
        7,
        {**valid_entry, "address": "host:80"},
        {**valid_entry, "capacity": "x"},
        {**valid_entry, "id": None},
    ]
    runners, token = runner_list.parse_page(
        json.dumps(
            {
                "instances": [*invalid_entries, valid_entry, {**valid_entry, "id": "i-8", "state": "draining"}],
                "next-token": "p-50",
            }
        ).encode()
    )
    assert runners == [
        Runner(id="i-7", service="s1", host="10.0.0.9", port=8080, zone="a", slots=32),
        Runner(id="i-8", service="s1", host="10.0.0.9", port=8080, zone="a", slots=32, draining=True),
    ]
    assert token == "p-50"
    assert runner_list.parse_page(b'{"instances":[],"next-token":null}') == ([], None)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"instances":7}', b'{"instances":[', b"\xff"])
def test_invalid_page_raises(body):
    with pytest.raises(runner_list.InvalidListError):
        runner_list.parse_page(body)


def test_platform_names_appear_only_in_its_package_and_tests():
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in PLATFORM_NAMES), re.IGNORECASE)
    files = [*(ROOT / "frostpost").rglob("*.py"), *(ROOT / "tests").glob("*.py")]
    other_files = [
        path
        for path in files
        if path.parent != ROOT / "frostpost/platform" and not path.name.startswith("test_platform")
    ]
    assert [
        (str(path.relative_to(ROOT)), match.group())
        for path in other_files
        if (match := pattern.search(path.read_text()))
    ] == []
