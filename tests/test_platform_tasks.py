"""Platform tasks in a simulated deployment: one daemon at a time calls, each window is reported once and as it was."""

import pytest
import task_platform as platforms


@pytest.fixture(autouse=True)
def wanted():
    with platforms.tasks_wanted(("usage_report",)):
        yield


def test_each_window_is_reported_in_time_with_what_runners_began():
    fleet = platforms.TaskFleet()
    fleet.run(40000)
    print(fleet.platform.calls, platforms.truth(fleet.world))
    assert 0
