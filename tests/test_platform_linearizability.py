"""The checker of the configuration as a register, on histories made by hand."""

import pytest
from fleet_simulator.linearizability import linearizable
from fleet_simulator.notes import ControlCall, Version


def document(issue, word=""):
    return {"issue": issue, "route-table": [{"name": "r", "word": f"{issue}{word}"}]}


class History:
    """Calls as (moment sent, moment answered, ...)."""

    def __init__(self):
        self.versions, self.calls = [], []

    def change(self, base, issue, *calls, word="", valid=True):
        """A change and its calls, each (sent, answered, status); status 0 or 503 is unclear."""
        version = Version(issue, base, {}, document(issue, word), calls[0][0], valid=valid)
        self.versions.append(version)
        for sent_ms, ended_ms, status in calls:
            self.calls.append(ControlCall("change", "c", sent_ms, version, ended_ms, status))
        return self

    def read(self, sent_ms, ended_ms, issue, word=""):
        found = document(issue, word) if issue else {"issue": 0, "route-table": []}
        self.calls.append(ControlCall("read", "c", sent_ms, None, ended_ms, 200, document=found))
        return self

    def broken(self):
        return [b.text for b in linearizable(self.versions, self.calls)]


def chain():
    """3, then 5, both acknowledged."""
    return History().change(0, 3, (0, 10, 200)).change(3, 5, (20, 30, 200))


FITTING = {
    "reads follow the changes": chain().read(11, 12, 3).read(31, 32, 5),
    "a read beside a change may tell either": chain().read(25, 26, 3).read(25, 26, 5),
    "nothing is read before the first change": chain().read(-5, -1, 0),
    "an unclear change may be taken late": chain().change(5, 6, (40, 41, 503)).read(90, 95, 5).read(100, 110, 6),
    "an unclear change may never be taken": chain()
    .change(5, 6, (40, 41, 0))
    .change(5, 7, (50, 60, 200))
    .read(70, 80, 7),
    "the next change tells that an unclear one was taken": chain()
    .change(5, 6, (40, 41, 0))
    .change(6, 7, (50, 60, 200)),
    "a taken change is acknowledged again after others": chain().change(
        5, 6, (40, 50, 200), (60, 70, 503), (80, 90, 200)
    ),
    "a stale change is refused": chain().change(3, 7, (40, 50, 412)),
    "a race has one winner": chain().change(5, 6, (40, 60, 200)).change(5, 6, (40, 60, 412), word="b").read(70, 80, 6),
    "an invalid change is refused": chain().change(5, 6, (40, 50, 400), valid=False),
    "of two unclear ones a read tells which": chain()
    .change(5, 6, (40, 41, 0))
    .change(5, 6, (40, 41, 0), word="b")
    .read(50, 60, 6, "b")
    .change(6, 8, (70, 80, 200)),
}
BREAKING = {
    "two on one base": chain().change(3, 6, (20, 30, 200)),
    "two under one number": chain().change(3, 5, (20, 30, 200), word="b"),
    "refused after it was acknowledged": chain().change(5, 6, (40, 50, 200), (60, 70, 412)),
    "refused, but taken": chain().change(5, 6, (40, 50, 412)).change(6, 7, (60, 70, 200)),
    "refused, but read": chain().change(5, 6, (40, 50, 412)).read(60, 70, 6),
    "an older one read after an acknowledgement": chain().read(31, 40, 3),
    "an older one read after a newer read": chain().change(5, 6, (40, 41, 0)).read(50, 60, 6).read(61, 70, 5),
    "read before it was sent": chain().read(11, 15, 5),
    "the empty one read again": chain().read(40, 50, 0),
    "a read that nobody sent": chain().read(40, 50, 9),
    "a read of another document under its number": chain().read(40, 50, 5, "b"),
    "an unclear one that lost, yet is built upon": chain()
    .change(5, 6, (40, 41, 0))
    .change(5, 7, (40, 50, 200))
    .change(6, 8, (60, 70, 200)),
    "refused while its base was current": chain().change(5, 6, (40, 50, 412)),
    "an invalid one acknowledged": chain().change(5, 6, (40, 50, 200), valid=False),
    "a valid one called invalid": chain().change(5, 6, (40, 50, 400)),
    "a base that nobody made": chain().change(4, 6, (40, 50, 200)),
}


@pytest.mark.parametrize("name", FITTING)
def test_histories_that_one_register_explains(name):
    assert FITTING[name].broken() == []


@pytest.mark.parametrize("name", BREAKING)
def test_histories_that_no_register_explains(name):
    assert BREAKING[name].broken() != []


def test_a_long_history_with_many_unclear_changes_is_judged():
    history, base = History(), 0
    for issue in range(3, 1500, 3):
        for other in range(7):
            history.change(base, issue + other % 2, (issue, issue, 0), word=str(other))
        history.change(base, issue, (issue, issue + 1, 200))
        base = issue
    assert history.broken() == []
    assert history.read(1502, 1503, base - 3).broken() != []
