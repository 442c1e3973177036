"""The linearizability checker accepts and rejects hand-written histories correctly."""

import pytest
from fleet_simulator.linearizability import linearizable
from fleet_simulator.notes import ControlCall, Version


def document(issue, word=""):
    return {"issue": issue, "route-table": [{"name": "r", "word": f"{issue}{word}"}]}


class History:
    """The changes and calls of a history; times are in ms."""

    def __init__(self):
        self.versions, self.calls = [], []

    def change(self, base, issue, *calls, word="", valid=True):
        """Add a change and its calls, each (sent_ms, ended_ms, status); status 0 or 503 is inconclusive."""
        version = Version(issue, base, {}, document(issue, word), calls[0][0], valid=valid)
        self.versions.append(version)
        for sent_ms, ended_ms, status in calls:
            self.calls.append(ControlCall("change", "c", sent_ms, version, ended_ms, status))
        return self

    def read(self, sent_ms, ended_ms, issue, word=""):
        returned = document(issue, word) if issue else {"issue": 0, "route-table": []}
        self.calls.append(ControlCall("read", "c", sent_ms, None, ended_ms, 200, document=returned))
        return self

    def violations(self):
        return [violation.text for violation in linearizable(self.versions, self.calls)]


def acknowledged_chain():
    """Returns a history with the acknowledged versions 3 and 5."""
    return History().change(0, 3, (0, 10, 200)).change(3, 5, (20, 30, 200))


LINEARIZABLE_HISTORIES = {
    "reads follow the changes": acknowledged_chain().read(11, 12, 3).read(31, 32, 5),
    "a read concurrent with a change may return either version": acknowledged_chain().read(25, 26, 3).read(25, 26, 5),
    "nothing is read before the first change": acknowledged_chain().read(-5, -1, 0),
    "an inconclusive change may take effect late": acknowledged_chain()
    .change(5, 6, (40, 41, 503))
    .read(90, 95, 5)
    .read(100, 110, 6),
    "an inconclusive change may never take effect": acknowledged_chain()
    .change(5, 6, (40, 41, 0))
    .change(5, 7, (50, 60, 200))
    .read(70, 80, 7),
    "a later change shows that an inconclusive one took effect": acknowledged_chain()
    .change(5, 6, (40, 41, 0))
    .change(6, 7, (50, 60, 200)),
    "an accepted change is acknowledged again after others": acknowledged_chain().change(
        5, 6, (40, 50, 200), (60, 70, 503), (80, 90, 200)
    ),
    "a stale change is refused": acknowledged_chain().change(3, 7, (40, 50, 412)),
    "a race has one winner": acknowledged_chain()
    .change(5, 6, (40, 60, 200))
    .change(5, 6, (40, 60, 412), word="b")
    .read(70, 80, 6),
    "an invalid change is refused": acknowledged_chain().change(5, 6, (40, 50, 400), valid=False),
    "a read shows which of two inconclusive changes took effect": acknowledged_chain()
    .change(5, 6, (40, 41, 0))
    .change(5, 6, (40, 41, 0), word="b")
    .read(50, 60, 6, "b")
    .change(6, 8, (70, 80, 200)),
}
NON_LINEARIZABLE_HISTORIES = {
    "two changes acknowledged on one base": acknowledged_chain().change(3, 6, (20, 30, 200)),
    "two changes acknowledged with one version": acknowledged_chain().change(3, 5, (20, 30, 200), word="b"),
    "refused after it was acknowledged": acknowledged_chain().change(5, 6, (40, 50, 200), (60, 70, 412)),
    "refused, but the base of an acknowledged change": acknowledged_chain()
    .change(5, 6, (40, 50, 412))
    .change(6, 7, (60, 70, 200)),
    "refused, but read": acknowledged_chain().change(5, 6, (40, 50, 412)).read(60, 70, 6),
    "an older version read after an acknowledgement": acknowledged_chain().read(31, 40, 3),
    "an older version read after a newer one": acknowledged_chain()
    .change(5, 6, (40, 41, 0))
    .read(50, 60, 6)
    .read(61, 70, 5),
    "read before it was sent": acknowledged_chain().read(11, 15, 5),
    "the empty configuration read again": acknowledged_chain().read(40, 50, 0),
    "a read of a version that was not sent": acknowledged_chain().read(40, 50, 9),
    "a read of another document with the same version": acknowledged_chain().read(40, 50, 5, "b"),
    "an inconclusive change that was superseded, but is a base": acknowledged_chain()
    .change(5, 6, (40, 41, 0))
    .change(5, 7, (40, 50, 200))
    .change(6, 8, (60, 70, 200)),
    "refused while its base was current": acknowledged_chain().change(5, 6, (40, 50, 412)),
    "an invalid change acknowledged": acknowledged_chain().change(5, 6, (40, 50, 200), valid=False),
    "a valid change refused as invalid": acknowledged_chain().change(5, 6, (40, 50, 400)),
    "a base that does not exist": acknowledged_chain().change(4, 6, (40, 50, 200)),
}


@pytest.mark.parametrize("name", LINEARIZABLE_HISTORIES)
def test_linearizable_history_is_accepted(name):
    assert LINEARIZABLE_HISTORIES[name].violations() == []


@pytest.mark.parametrize("name", NON_LINEARIZABLE_HISTORIES)
def test_non_linearizable_history_is_rejected(name):
    assert NON_LINEARIZABLE_HISTORIES[name].violations() != []


def test_long_history_with_many_inconclusive_changes_is_checked():
    history, base = History(), 0
    for issue in range(3, 1500, 3):
        for other in range(7):
            history.change(base, issue + other % 2, (issue, issue, 0), word=str(other))
        history.change(base, issue, (issue, issue + 1, 200))
        base = issue
    assert history.violations() == []
    assert history.read(1502, 1503, base - 3).violations() != []
