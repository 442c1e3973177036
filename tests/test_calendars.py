from datetime import datetime, timezone

import pytest

from frostpost.testbed.templates import TEMPLATES
from frostpost.background.calendars import amended, dueS
from frostpost.tenant_config.stamp import checkTenant


def at(text):
    return int(datetime.fromisoformat(text).replace(tzinfo=timezone.utc).timestamp())


TENANT = {
    "template": "clerks",
    "parameters": {"keepMs": 600000},
    "calendars": [{"cron": "0 6 * * *", "set": {"keepMs": 900000}}, {"cron": "0 18 * * *", "set": {"keepMs": 60000}}],
}


def test_due_is_the_last_time_passed():
    assert dueS("0 6 * * *", at("2026-12-02T06:00:30")) == at("2026-12-02T06:00:00")
    assert dueS("0 6 * * *", at("2026-12-02T05:59:59")) == at("2026-12-01T06:00:00")


@pytest.mark.parametrize(
    "since,now,fires,keepMs",
    [
        ("2026-12-02T05:59:50", "2026-12-02T06:00:00", "2026-12-02T06:00:00", 900000),
        ("2026-12-02T06:00:00", "2026-12-02T06:00:05", None, None),
        ("2026-11-28T00:00:00", "2026-12-02T20:00:00", "2026-12-02T18:00:00", 60000),
        ("2026-11-28T00:00:00", "2026-12-02T07:00:00", "2026-12-02T06:00:00", 900000),
        ("2026-12-02T18:00:00", "2026-12-02T17:00:00", None, None),
    ],
)
def test_a_gap_is_caught_up_by_the_last_of_each(since, now, fires, keepMs):
    atS, document = amended(TENANT, at(since), at(now))
    if fires is None:
        assert document is None
    else:
        assert atS == at(fires) and document["parameters"]["keepMs"] == keepMs


def test_calendars_are_checked():
    assert checkTenant("t", TENANT, TEMPLATES["clerks"]).is_ok()
    for calendar, path in (
        ({"cron": "0 6 * *", "set": {"keepMs": 900000}}, "/calendars/0/cron"),
        ({"cron": "0 6 * * *", "set": {"keepMs": 1}}, "/calendars/0/parameters/keepMs"),
    ):
        faults = checkTenant("t", {"template": "clerks", "calendars": [calendar]}, TEMPLATES["clerks"]).error
        assert [f.path for f in faults.faults] == [path]
