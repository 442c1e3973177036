from datetime import UTC, datetime

import pytest

from frostpost.background.calendars import amended, due_s
from frostpost.tenant_config.instantiation import validate_tenant
from frostpost.testbed.templates import TEMPLATES


def at(text):
    return int(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp())


TENANT = {
    "template": "clerks",
    "parameters": {"retention_ms": 600000},
    "calendars": [
        {"cron": "0 6 * * *", "set": {"retention_ms": 900000}},
        {"cron": "0 18 * * *", "set": {"retention_ms": 60000}},
    ],
}


def test_due_is_the_last_time_passed():
    assert due_s("0 6 * * *", at("2026-12-02T06:00:30")) == at("2026-12-02T06:00:00")
    assert due_s("0 6 * * *", at("2026-12-02T05:59:59")) == at("2026-12-01T06:00:00")


@pytest.mark.parametrize(
    "since,now,fires,retention_ms",
    [
        ("2026-12-02T05:59:50", "2026-12-02T06:00:00", "2026-12-02T06:00:00", 900000),
        ("2026-12-02T06:00:00", "2026-12-02T06:00:05", None, None),
        ("2026-11-28T00:00:00", "2026-12-02T20:00:00", "2026-12-02T18:00:00", 60000),
        ("2026-11-28T00:00:00", "2026-12-02T07:00:00", "2026-12-02T06:00:00", 900000),
        ("2026-12-02T18:00:00", "2026-12-02T17:00:00", None, None),
    ],
)
def test_a_gap_is_caught_up_by_the_last_of_each(since, now, fires, retention_ms):
    at_s, document = amended(TENANT, at(since), at(now))
    if fires is None:
        assert document is None
    else:
        assert at_s == at(fires) and document["parameters"]["retention_ms"] == retention_ms


def test_calendars_are_checked():
    assert validate_tenant("t", TENANT, TEMPLATES["clerks"]).is_ok()
    for calendar, path in (
        ({"cron": "0 6 * *", "set": {"retention_ms": 900000}}, "/calendars/0/cron"),
        ({"cron": "0 6 * * *", "set": {"retention_ms": 1}}, "/calendars/0/parameters/retention_ms"),
    ):
        errors = validate_tenant("t", {"template": "clerks", "calendars": [calendar]}, TEMPLATES["clerks"]).error
        assert [f.path for f in errors.errors] == [path]
