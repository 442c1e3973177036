from types import SimpleNamespace

import pytest
from expression import Ok
from test_cluster_lease_client import endpoint_of
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from frostpost.cluster import voter_reconfiguration
from frostpost.cluster.voter_policy import Tolerance
from frostpost.daemon.machine import Machine
from frostpost.ledger.operations import VOTER_EXCHANGE_RULES, Look
from frostpost.ledger.results import Done
from frostpost.ledger.state import Ledger
from frostpost.program_ledger.messages import CompleteRetirement
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.configuration import Configuration, ConfigurationId
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import SetVoters
from frostpost.virtual_synchrony.state import Peer, Synchrony

ID = ConfigurationId(3, "s1", 1)
AWAY_MS = 4800
VOTERS = ("s1", "s2", "s3")
OPENED = 1
WHOLE = {"missing": 0, "counted": OPENED}


def new_ctx(present, voters=VOTERS, retiring=(), clock=None):
    """Daemon s1; all that are present are whole."""
    members = tuple(Member(n, 1) for n in present)
    synchrony = Synchrony(
        endpoint_of("s1"), Bounds(), (), voters, True, None, Configuration(ID, members, min(present)), ID
    )
    synchrony.primary.opened = synchrony.primary.ready = True
    synchrony.status = dict(WHOLE)
    synchrony.peers = {
        n: Peer(endpoint_of(n), configuration=ID, ready=True, status=dict(WHOLE)) for n in present if n != "s1"
    }
    ledger = Ledger(voters=voters, rules=VOTER_EXCHANGE_RULES)
    ledger.program_ledger.retiring = dict.fromkeys(retiring, "in_service")
    return SimpleNamespace(
        core=SimpleNamespace(synchrony=synchrony, ledger=ledger), machine=Machine(seconds=(clock or Clock()).seconds)
    )


def settings(machines=1):
    return SimpleNamespace(tolerance=Tolerance(machines), regions={}, catch_up_ms=AWAY_MS)


def wish(ctx, background=None, machines=1):
    return voter_reconfiguration.next_voter_set(
        ctx, background or voter_reconfiguration.VoterChanges(), settings(machines)
    )


def test_whole_member_is_added_and_one_at_a_time():
    assert wish(new_ctx(("s1", "s2", "s3", "s5", "s4"))) == ("s1", "s2", "s3", "s5")
    assert wish(new_ctx(VOTERS)) is None


@pytest.mark.parametrize(
    "change",
    [
        {"ready": False},
        {"status": WHOLE | {"missing": 2}},
        {"status": WHOLE | {"counted": OPENED - 1}},
        {"status": {}},
        {"configuration": ConfigurationId(2, "s1", 1)},
    ],
)
def test_member_that_is_not_whole_is_not_added(change):
    ctx = new_ctx((*VOTERS, "s4"))
    for field, value in change.items():
        setattr(ctx.core.synchrony.peers["s4"], field, value)
    assert wish(ctx) is None


def test_own_daemon_is_added_only_when_whole():
    ctx = new_ctx(("s1", "s2", "s3", "s4"), ("s2", "s3", "s4"))
    ctx.core.synchrony.status = WHOLE | {"missing": 1}
    assert wish(ctx) is None
    ctx.core.synchrony.status = dict(WHOLE)
    assert wish(ctx) == ("s1", "s2", "s3", "s4")


def test_retiring_member_is_not_added():
    assert wish(new_ctx((*VOTERS, "s4"), retiring=("s4",))) is None


def test_voter_away_is_removed_after_its_time_while_more_than_least_remain():
    clock, background = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx(VOTERS, (*VOTERS, "s4"), clock=clock)
    assert wish(ctx, background) is None
    clock.advance(AWAY_MS / 1000 - 0.01)
    assert wish(ctx, background) is None
    clock.advance(0.02)
    assert wish(ctx, background) == VOTERS
    assert wish(ctx, background, machines=2) is None


def test_voter_that_came_back_counts_anew():
    clock, background = Clock(), voter_reconfiguration.VoterChanges()
    away, back = new_ctx(VOTERS, (*VOTERS, "s4"), clock=clock), new_ctx((*VOTERS, "s4"), (*VOTERS, "s4"), clock=clock)
    wish(away, background)
    clock.advance(9)
    assert wish(back, background) is None and wish(away, background) is None


def test_retiring_voter_is_removed_only_when_all_others_are_whole_and_enough():
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, four, retiring=("s2",))
    ctx.core.synchrony.peers["s4"].status = WHOLE | {"missing": 1}
    assert wish(ctx) is None
    ctx.core.synchrony.peers["s4"].status = dict(WHOLE)
    ctx.core.synchrony.peers["s2"].status = WHOLE | {"missing": 5}
    assert wish(ctx) == ("s1", "s3", "s4")
    assert wish(new_ctx(VOTERS, VOTERS, retiring=("s2",))) is None


def test_a_replacement_is_added_before_a_retiring_voter_goes():
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s2",))
    assert wish(ctx) == ("s1", "s2", "s3", "s4")


def test_a_newcomer_takes_the_place_of_a_voter_that_is_away_in_one_step():
    clock, background = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx(("s1", "s2", "s4"), VOTERS, clock=clock)
    assert wish(ctx, background) is None
    clock.advance(AWAY_MS / voter_reconfiguration.TO_NEWCOMER_SHARE / 1000)
    assert wish(ctx, background) == ("s1", "s2", "s4")
    ctx.core.synchrony.peers["s2"].status = WHOLE | {"missing": 1}
    assert wish(ctx, background) is None


def test_before_all_know_of_exchanges_the_newcomer_is_added_first():
    clock, background = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx(("s1", "s2", "s4"), VOTERS, clock=clock)
    ctx.core.ledger.rules = VOTER_EXCHANGE_RULES - 1
    wish(ctx, background)
    clock.advance(AWAY_MS / voter_reconfiguration.TO_NEWCOMER_SHARE / 1000)
    assert wish(ctx, background) == ("s1", "s2", "s3", "s4")


def test_a_voter_that_is_told_to_end_gives_its_vote_up_where_the_others_do_without():
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, four)
    ctx.core.synchrony.peers["s4"].status = WHOLE | {"leaving": 1}
    assert wish(ctx) == VOTERS
    ctx = new_ctx(four, VOTERS)
    ctx.core.synchrony.peers["s4"].status = WHOLE | {"leaving": 1}
    assert wish(ctx) is None
    ctx.core.synchrony.status = WHOLE | {"leaving": 1}
    assert wish(ctx) is None and not voter_reconfiguration.is_dispensable_voter(ctx, settings())
    assert voter_reconfiguration.is_dispensable_voter(new_ctx(four, four), settings())
    assert not voter_reconfiguration.is_dispensable_voter(new_ctx(four, four), settings(machines=2))


def test_emptied_is_one_in_service_that_is_no_voter_once_the_others_are_whole_since_its_mark():
    ctx, background = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s2", "s4")), voter_reconfiguration.VoterChanges()
    assert voter_reconfiguration.releasable_replicas(ctx, background) == []
    background.marks = {"s2": OPENED, "s4": OPENED}
    assert voter_reconfiguration.releasable_replicas(ctx, background) == ["s4"]
    background.marks["s4"] = OPENED + 1
    assert voter_reconfiguration.releasable_replicas(ctx, background) == []
    background.marks["s4"] = OPENED
    ctx.core.synchrony.peers["s3"].status = WHOLE | {"missing": 1}
    assert voter_reconfiguration.releasable_replicas(ctx, background) == []


def test_no_mark_is_set_while_a_lease_may_run_under_which_the_leaver_is_a_voter():
    clock, background = Clock(), voter_reconfiguration.VoterChanges()
    four = (*VOTERS, "s4")
    before, after = new_ctx(four, four, ("s4",), clock), new_ctx(four, VOTERS, ("s4",), clock)
    lease_s = after.core.synchrony.bounds.lease_ms / 1000
    voter_reconfiguration.observe_voters(before, background)
    clock.advance(2 * lease_s)
    assert voter_reconfiguration.replicas_to_mark(before, background) == []
    voter_reconfiguration.observe_voters(after, background)
    clock.advance(lease_s - 0.01)
    assert voter_reconfiguration.replicas_to_mark(after, background) == []
    clock.advance(0.02)
    assert voter_reconfiguration.replicas_to_mark(after, background) == ["s4"]
    after.core.synchrony.installed_ms = int(clock.seconds() * 1000)
    assert voter_reconfiguration.replicas_to_mark(after, background) == []


def tended(ctx, background, monkeypatch):
    """What is asked of the order; every question is answered, and changes nothing."""
    asked = []

    def ask(_, op, wait_ms):
        asked.append(op)
        return succeed(Ok(Done(OPENED) if isinstance(op, Look) else None))

    monkeypatch.setattr(voter_reconfiguration, "submit", ask)
    voter_reconfiguration.reconfigure(ctx, background, settings())
    return asked


def test_only_the_sequencer_changes_voters_and_it_names_what_it_saw(monkeypatch):
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, VOTERS)
    assert tended(ctx, voter_reconfiguration.VoterChanges(), monkeypatch) == [SetVoters(ID, VOTERS, four)]
    assert tended(ctx, voter_reconfiguration.VoterChanges(busy=True), monkeypatch) == []
    ctx.core.synchrony.configuration = Configuration(ID, ctx.core.synchrony.configuration.members, "s2")
    assert tended(ctx, voter_reconfiguration.VoterChanges(), monkeypatch) == []


def test_emptied_daemon_is_told_to_the_ledger_after_its_mark(monkeypatch):
    clock, background = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s4",), clock=clock)
    assert tended(ctx, background, monkeypatch) == []
    clock.advance(ctx.core.synchrony.bounds.lease_ms / 1000)
    assert tended(ctx, background, monkeypatch) == [Look(), CompleteRetirement("s4")]


def test_time_away_before_another_daemon_sequenced_does_not_count(monkeypatch):
    """s0 leaves, s1 sequences; s0 returns and sequences; much later s0 leaves again."""
    clock, background, voters = Clock(), voter_reconfiguration.VoterChanges(), ("s0", *VOTERS)
    without = new_ctx(VOTERS, voters, clock=clock)
    assert tended(without, background, monkeypatch) == []
    clock.advance(1)
    assert tended(new_ctx(voters, voters, clock=clock), background, monkeypatch) == []
    clock.advance(3600)
    assert tended(without, background, monkeypatch) == []
