from types import SimpleNamespace

import pytest
from expression import Ok
from test_cluster_lease import place_of
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from frostpost.cluster import tenders
from frostpost.daemon.machine import Machine
from frostpost.ledger.state import Ledger
from frostpost.program_ledger.words import Retired
from frostpost.virtual_synchrony.events import SetVoters
from frostpost.virtual_synchrony.state import Bounds, Peer, Synchrony
from frostpost.virtual_synchrony.words import Configuration, ConfigurationId, Member

ID = ConfigurationId(3, "s1", 1)
AWAY_MS = 4800
VOTERS = ("s1", "s2", "s3")


def new_ctx(present, voters=VOTERS, retiring=(), clock=None):
    """Daemon s1; all that are present are whole."""
    members = tuple(Member(n, 1) for n in present)
    synchrony = Synchrony(
        place_of("s1"), Bounds(), (), voters, True, None, Configuration(ID, members, min(present)), ID
    )
    synchrony.primary.opened = synchrony.primary.ready = True
    synchrony.peers = {
        n: Peer(place_of(n), configuration=ID, ready=True, news={"missing": 0}) for n in present if n != "s1"
    }
    ledger = Ledger(voters=voters)
    ledger.program_ledger.retiring = dict.fromkeys(retiring, "in_service")
    return SimpleNamespace(
        core=SimpleNamespace(synchrony=synchrony, ledger=ledger), machine=Machine(seconds=(clock or Clock()).seconds)
    )


def wish(ctx, background=None, least=3):
    return tenders.wish(ctx, background or tenders.VoterChanges(), least, AWAY_MS)


def test_whole_member_is_added_and_one_at_a_time():
    assert wish(new_ctx(("s1", "s2", "s3", "s5", "s4"))) == ("s1", "s2", "s3", "s5")
    assert wish(new_ctx(VOTERS)) is None


@pytest.mark.parametrize(
    "change", [{"ready": False}, {"news": {"missing": 2}}, {"news": {}}, {"configuration": ConfigurationId(2, "s1", 1)}]
)
def test_member_that_is_not_whole_is_not_added(change):
    ctx = new_ctx((*VOTERS, "s4"))
    for field, value in change.items():
        setattr(ctx.core.synchrony.peers["s4"], field, value)
    assert wish(ctx) is None


def test_own_daemon_is_added_only_when_whole():
    ctx = new_ctx(("s1", "s2", "s3", "s4"), ("s2", "s3", "s4"))
    ctx.core.synchrony.news = {"missing": 1}
    assert wish(ctx) is None
    ctx.core.synchrony.news = {"missing": 0}
    assert wish(ctx) == ("s1", "s2", "s3", "s4")


def test_retiring_member_is_not_added():
    assert wish(new_ctx((*VOTERS, "s4"), retiring=("s4",))) is None


def test_voter_away_is_removed_after_its_time_while_more_than_least_remain():
    clock, background = Clock(), tenders.VoterChanges()
    ctx = new_ctx(VOTERS, (*VOTERS, "s4"), clock=clock)
    assert wish(ctx, background) is None
    clock.advance(AWAY_MS / 1000 - 0.01)
    assert wish(ctx, background) is None
    clock.advance(0.02)
    assert wish(ctx, background) == VOTERS
    assert wish(ctx, background, least=4) is None


def test_voter_that_came_back_counts_anew():
    clock, background = Clock(), tenders.VoterChanges()
    away, back = new_ctx(VOTERS, (*VOTERS, "s4"), clock=clock), new_ctx((*VOTERS, "s4"), (*VOTERS, "s4"), clock=clock)
    wish(away, background)
    clock.advance(9)
    assert wish(back, background) is None and wish(away, background) is None


def test_retiring_voter_is_removed_only_when_all_others_are_whole_and_enough():
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, four, retiring=("s2",))
    ctx.core.synchrony.peers["s4"].news = {"missing": 1}
    assert wish(ctx) is None
    ctx.core.synchrony.peers["s4"].news = {"missing": 0}
    ctx.core.synchrony.peers["s2"].news = {"missing": 5}
    assert wish(ctx) == ("s1", "s3", "s4")
    assert wish(new_ctx(VOTERS, VOTERS, retiring=("s2",))) is None


def test_a_replacement_is_added_before_a_retiring_voter_goes():
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s2",))
    assert wish(ctx) == ("s1", "s2", "s3", "s4")


def test_emptied_is_one_in_service_that_is_no_voter_once_the_others_are_whole():
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s2", "s4"))
    assert tenders.emptied(ctx) == ["s4"]
    ctx.core.synchrony.peers["s3"].news = {"missing": 1}
    assert tenders.emptied(ctx) == []


def tended(ctx, background, monkeypatch):
    asked = []
    monkeypatch.setattr(tenders, "ask", lambda _, op, wait_ms: asked.append(op) or succeed(Ok(None)))
    tenders.tend(ctx, background, 3, AWAY_MS)
    return asked


def test_only_the_sequencer_changes_voters_and_it_names_what_it_saw(monkeypatch):
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, VOTERS)
    assert tended(ctx, tenders.VoterChanges(), monkeypatch) == [SetVoters(ID, VOTERS, four)]
    assert tended(ctx, tenders.VoterChanges(busy=True), monkeypatch) == []
    ctx.core.synchrony.configuration = Configuration(ID, ctx.core.synchrony.configuration.members, "s2")
    assert tended(ctx, tenders.VoterChanges(), monkeypatch) == []


def test_emptied_daemon_is_told_to_the_ledger(monkeypatch):
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s4",))
    assert tended(ctx, tenders.VoterChanges(), monkeypatch) == [Retired("s4")]


def test_time_away_before_another_daemon_sequenced_does_not_count(monkeypatch):
    """s0 leaves, s1 sequences; s0 returns and sequences; much later s0 leaves again."""
    clock, background, voters = Clock(), tenders.VoterChanges(), ("s0", *VOTERS)
    without = new_ctx(VOTERS, voters, clock=clock)
    assert tended(without, background, monkeypatch) == []
    clock.advance(1)
    assert tended(new_ctx(voters, voters, clock=clock), background, monkeypatch) == []
    clock.advance(3600)
    assert tended(without, background, monkeypatch) == []
