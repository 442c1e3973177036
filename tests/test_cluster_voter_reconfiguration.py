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
CATCH_UP_MS = 4800
VOTERS = ("s1", "s2", "s3")
OPENED_INDEX = 1
COMPLETE = {"missing": 0, "counted": OPENED_INDEX}


def new_ctx(present, voters=VOTERS, retiring=(), clock=None):
    """Returns the context of daemon s1; all present members are complete."""
    members = tuple(Member(n, 1) for n in present)
    synchrony = Synchrony(
        endpoint_of("s1"), Bounds(), (), voters, True, None, Configuration(ID, members, min(present)), ID
    )
    synchrony.primary.opened = synchrony.primary.ready = True
    synchrony.status = dict(COMPLETE)
    synchrony.peers = {
        n: Peer(endpoint_of(n), configuration=ID, ready=True, status=dict(COMPLETE)) for n in present if n != "s1"
    }
    ledger = Ledger(voters=voters, rules=VOTER_EXCHANGE_RULES)
    ledger.program_ledger.retiring = dict.fromkeys(retiring, "in_service")
    return SimpleNamespace(
        core=SimpleNamespace(synchrony=synchrony, ledger=ledger), machine=Machine(seconds=(clock or Clock()).seconds)
    )


def settings(machines=1):
    return SimpleNamespace(tolerance=Tolerance(machines), regions={}, catch_up_ms=CATCH_UP_MS)


def next_set(ctx, changes=None, machines=1):
    return voter_reconfiguration.next_voter_set(
        ctx, changes or voter_reconfiguration.VoterChanges(), settings(machines)
    )


def test_complete_members_are_added_one_at_a_time():
    assert next_set(new_ctx(("s1", "s2", "s3", "s5", "s4"))) == ("s1", "s2", "s3", "s5")
    assert next_set(new_ctx(VOTERS)) is None


@pytest.mark.parametrize(
    "change",
    [
        {"ready": False},
        {"status": COMPLETE | {"missing": 2}},
        {"status": COMPLETE | {"counted": OPENED_INDEX - 1}},
        {"status": {}},
        {"configuration": ConfigurationId(2, "s1", 1)},
    ],
)
def test_an_incomplete_member_is_not_added(change):
    ctx = new_ctx((*VOTERS, "s4"))
    for field, value in change.items():
        setattr(ctx.core.synchrony.peers["s4"], field, value)
    assert next_set(ctx) is None


def test_the_sequencer_itself_is_added_only_when_complete():
    ctx = new_ctx(("s1", "s2", "s3", "s4"), ("s2", "s3", "s4"))
    ctx.core.synchrony.status = COMPLETE | {"missing": 1}
    assert next_set(ctx) is None
    ctx.core.synchrony.status = dict(COMPLETE)
    assert next_set(ctx) == ("s1", "s2", "s3", "s4")


def test_a_retiring_member_is_not_added():
    assert next_set(new_ctx((*VOTERS, "s4"), retiring=("s4",))) is None


def test_an_absent_voter_is_removed_after_its_limit_if_enough_voters_remain():
    clock, changes = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx(VOTERS, (*VOTERS, "s4"), clock=clock)
    assert next_set(ctx, changes) is None
    clock.advance(CATCH_UP_MS / 1000 - 0.01)
    assert next_set(ctx, changes) is None
    clock.advance(0.02)
    assert next_set(ctx, changes) == VOTERS
    assert next_set(ctx, changes, machines=2) is None


def test_absence_is_counted_anew_after_a_return():
    clock, changes = Clock(), voter_reconfiguration.VoterChanges()
    absent, returned = (
        new_ctx(VOTERS, (*VOTERS, "s4"), clock=clock),
        new_ctx((*VOTERS, "s4"), (*VOTERS, "s4"), clock=clock),
    )
    next_set(absent, changes)
    clock.advance(9)
    assert next_set(returned, changes) is None and next_set(absent, changes) is None


def test_a_retiring_voter_is_removed_only_when_the_others_are_complete_and_enough():
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, four, retiring=("s2",))
    ctx.core.synchrony.peers["s4"].status = COMPLETE | {"missing": 1}
    assert next_set(ctx) is None
    ctx.core.synchrony.peers["s4"].status = dict(COMPLETE)
    ctx.core.synchrony.peers["s2"].status = COMPLETE | {"missing": 5}
    assert next_set(ctx) == ("s1", "s3", "s4")
    assert next_set(new_ctx(VOTERS, VOTERS, retiring=("s2",))) is None


def test_a_replacement_is_added_before_a_retiring_voter_is_removed():
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s2",))
    assert next_set(ctx) == ("s1", "s2", "s3", "s4")


def test_a_newcomer_replaces_an_absent_voter_in_one_step():
    clock, changes = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx(("s1", "s2", "s4"), VOTERS, clock=clock)
    assert next_set(ctx, changes) is None
    clock.advance(CATCH_UP_MS / voter_reconfiguration.REPLACE_DIVISOR / 1000)
    assert next_set(ctx, changes) == ("s1", "s2", "s4")
    ctx.core.synchrony.peers["s2"].status = COMPLETE | {"missing": 1}
    assert next_set(ctx, changes) is None


def test_under_older_ledger_rules_the_newcomer_is_added_first():
    clock, changes = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx(("s1", "s2", "s4"), VOTERS, clock=clock)
    ctx.core.ledger.rules = VOTER_EXCHANGE_RULES - 1
    next_set(ctx, changes)
    clock.advance(CATCH_UP_MS / voter_reconfiguration.REPLACE_DIVISOR / 1000)
    assert next_set(ctx, changes) == ("s1", "s2", "s3", "s4")


def test_a_draining_voter_gives_up_its_vote_if_the_others_are_sound():
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, four)
    ctx.core.synchrony.peers["s4"].status = COMPLETE | {"leaving": 1}
    assert next_set(ctx) == VOTERS
    ctx = new_ctx(four, VOTERS)
    ctx.core.synchrony.peers["s4"].status = COMPLETE | {"leaving": 1}
    assert next_set(ctx) is None
    ctx.core.synchrony.status = COMPLETE | {"leaving": 1}
    assert next_set(ctx) is None and not voter_reconfiguration.is_dispensable_voter(ctx, settings())
    assert voter_reconfiguration.is_dispensable_voter(new_ctx(four, four), settings())
    assert not voter_reconfiguration.is_dispensable_voter(new_ctx(four, four), settings(machines=2))


def test_a_retiring_replica_is_releasable_once_the_others_are_complete_past_its_baseline():
    ctx, changes = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s2", "s4")), voter_reconfiguration.VoterChanges()
    assert voter_reconfiguration.releasable_replicas(ctx, changes) == []
    changes.baselines = {"s2": OPENED_INDEX, "s4": OPENED_INDEX}
    assert voter_reconfiguration.releasable_replicas(ctx, changes) == ["s4"]
    changes.baselines["s4"] = OPENED_INDEX + 1
    assert voter_reconfiguration.releasable_replicas(ctx, changes) == []
    changes.baselines["s4"] = OPENED_INDEX
    ctx.core.synchrony.peers["s3"].status = COMPLETE | {"missing": 1}
    assert voter_reconfiguration.releasable_replicas(ctx, changes) == []


def test_no_baseline_is_set_while_a_lease_may_run_that_names_the_replica_as_voter():
    clock, changes = Clock(), voter_reconfiguration.VoterChanges()
    four = (*VOTERS, "s4")
    before, after = new_ctx(four, four, ("s4",), clock), new_ctx(four, VOTERS, ("s4",), clock)
    lease_s = after.core.synchrony.bounds.lease_ms / 1000
    voter_reconfiguration.observe_voters(before, changes)
    clock.advance(2 * lease_s)
    assert voter_reconfiguration.replicas_awaiting_baseline(before, changes) == []
    voter_reconfiguration.observe_voters(after, changes)
    clock.advance(lease_s - 0.01)
    assert voter_reconfiguration.replicas_awaiting_baseline(after, changes) == []
    clock.advance(0.02)
    assert voter_reconfiguration.replicas_awaiting_baseline(after, changes) == ["s4"]
    after.core.synchrony.installed_ms = int(clock.seconds() * 1000)
    assert voter_reconfiguration.replicas_awaiting_baseline(after, changes) == []


def reconfigure(ctx, changes, monkeypatch):
    """Returns the operations submitted in one step; all of them are decided and change nothing."""
    submitted = []

    def submit(_, op, wait_ms):
        submitted.append(op)
        return succeed(Ok(Done(OPENED_INDEX) if isinstance(op, Look) else None))

    monkeypatch.setattr(voter_reconfiguration, "submit", submit)
    voter_reconfiguration.reconfigure(ctx, changes, settings())
    return submitted


def test_only_the_sequencer_changes_voters_and_it_states_the_set_it_replaces(monkeypatch):
    four = (*VOTERS, "s4")
    ctx = new_ctx(four, VOTERS)
    assert reconfigure(ctx, voter_reconfiguration.VoterChanges(), monkeypatch) == [SetVoters(ID, VOTERS, four)]
    assert reconfigure(ctx, voter_reconfiguration.VoterChanges(busy=True), monkeypatch) == []
    ctx.core.synchrony.configuration = Configuration(ID, ctx.core.synchrony.configuration.members, "s2")
    assert reconfigure(ctx, voter_reconfiguration.VoterChanges(), monkeypatch) == []


def test_a_retirement_is_completed_after_its_baseline_is_ordered(monkeypatch):
    clock, changes = Clock(), voter_reconfiguration.VoterChanges()
    ctx = new_ctx((*VOTERS, "s4"), VOTERS, retiring=("s4",), clock=clock)
    assert reconfigure(ctx, changes, monkeypatch) == []
    clock.advance(ctx.core.synchrony.bounds.lease_ms / 1000)
    assert reconfigure(ctx, changes, monkeypatch) == [Look(), CompleteRetirement("s4")]


def test_absence_seen_before_another_sequencer_does_not_count(monkeypatch):
    """s0 leaves and s1 sequences; s0 returns and sequences; much later s0 leaves again."""
    clock, changes, voters = Clock(), voter_reconfiguration.VoterChanges(), ("s0", *VOTERS)
    without = new_ctx(VOTERS, voters, clock=clock)
    assert reconfigure(without, changes, monkeypatch) == []
    clock.advance(1)
    assert reconfigure(new_ctx(voters, voters, clock=clock), changes, monkeypatch) == []
    clock.advance(3600)
    assert reconfigure(without, changes, monkeypatch) == []
