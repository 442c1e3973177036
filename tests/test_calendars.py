from datetime import UTC, datetime

import pytest

from frostpost.background.calendars import apply_due_calendars, last_due_s
from frostpost.tenant_config.instantiation import validate_tenant
from frostpost.testbed.templates import TEMPLATES


def epoch_s(text):
    return int(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp())


TENANT = {
    "template": "clerks",
    "parameters": {"retention_ms": 600000},
    "calendars": [
        {"cron": "0 6 * * *", "set": {"retention_ms": 900000}},
        {"cron": "0 18 * * *", "set": {"retention_ms": 60000}},
    ],
}


def test_last_due_time_is_the_latest_match_up_to_now():
    assert last_due_s("0 6 * * *", epoch_s("2026-12-02T06:00:30")) == epoch_s("2026-12-02T06:00:00")
    assert last_due_s("0 6 * * *", epoch_s("2026-12-02T05:59:59")) == epoch_s("2026-12-01T06:00:00")


@pytest.mark.parametrize(
    "since,now,expected_time,retention_ms",
    [
        ("2026-12-02T05:59:50", "2026-12-02T06:00:00", "2026-12-02T06:00:00", 900000),
        ("2026-12-02T06:00:00", "2026-12-02T06:00:05", None, None),
        ("2026-11-28T00:00:00", "2026-12-02T20:00:00", "2026-12-02T18:00:00", 60000),
        ("2026-11-28T00:00:00", "2026-12-02T07:00:00", "2026-12-02T06:00:00", 900000),
        ("2026-12-02T18:00:00", "2026-12-02T17:00:00", None, None),
    ],
)
def test_missed_calendars_are_applied_once_in_the_order_of_their_last_times(since, now, expected_time, retention_ms):
    at_s, document = apply_due_calendars(TENANT, epoch_s(since), epoch_s(now))
    if expected_time is None:
        assert document is None
    else:
        assert at_s == epoch_s(expected_time) and document["parameters"]["retention_ms"] == retention_ms


def test_calendars_are_validated():
    assert validate_tenant("t", TENANT, TEMPLATES["clerks"]).is_ok()
    for calendar, path in (
        ({"cron": "0 6 * *", "set": {"retention_ms": 900000}}, "/calendars/0/cron"),
        ({"cron": "0 6 * * *", "set": {"retention_ms": 1}}, "/calendars/0/parameters/retention_ms"),
    ):
        errors = validate_tenant("t", {"template": "clerks", "calendars": [calendar]}, TEMPLATES["clerks"]).error
        assert [f.path for f in errors.errors] == [path]
