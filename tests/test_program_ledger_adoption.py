"""The ledger gives a tenant what was done with a credential before a change of the routing made it known."""

import pytest
from ledger_replica import FENCE, LedgerReplica

from frostpost.ledger.operations import Rules, Tick
from frostpost.program_ledger.adoption import ADOPTION_RETENTION_MS, ADOPTION_RULES
from frostpost.program_ledger.ids import hosted_key, scoped_id
from frostpost.program_ledger.key_messages import (
    ClaimOperationKey,
    KeyAnswered,
    KeyClaimed,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AdoptedCredentials,
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    Candidate,
    EndAttempt,
    NoAttempt,
    NoTurn,
    RoutingSet,
    SetRouting,
    TokensSpent,
)
from frostpost.program_ledger.turns import is_waiting_for_slot

WINDOW_MS, RETENTION_MS, BUDGET, AMOUNT = 60000, 60000, 100, 60
CREDENTIAL, OTHER_CREDENTIAL = "c1", "c2"


class Replica(LedgerReplica):
    """A ledger whose operations and changes of the routing are sent by edges and a control daemon."""

    def __init__(self, reload=False):
        super().__init__(reload, ADOPTION_RULES)

    def adopt(self, **credentials):
        version = self.ledger.program_ledger.routing_version
        adopted = tuple(AdoptedCredentials(*item) for item in credentials.items())
        change = SetRouting(version, version + 1, b"", b"", 1000, adopted)
        assert self.apply(change) == RoutingSet(version + 1)

    def claim(self, attempt, tenant="", credential=CREDENTIAL):
        return self.apply(ClaimOperationKey(key_of(tenant), attempt, WINDOW_MS, credential))

    def resolve(self, attempt, answer, tenant="", credential=CREDENTIAL):
        return self.apply(ResolveOperationKey(key_of(tenant), attempt, answer, credential))

    def begin(self, *args, **options):
        return self.apply(begin(*args, **options))

    def take_turn(self, attempt, tokens=AMOUNT, **options):
        result = self.begin(attempt, **options)
        name = scoped_id(options.get("tenant", ""), attempt)
        ended = self.apply(EndAttempt(name, tokens, RETENTION_MS, 1))
        assert isinstance(result, AttemptBegun) and ended == AttemptEnded()
        return result


def key_of(tenant):
    return scoped_id(tenant, hosted_key("h", "k"))


def begin(attempt, tenant="", credential=CREDENTIAL, program="p", previous="", budget=BUDGET, slots=9):
    return BeginAttempt(
        scoped_id(tenant, attempt),
        scoped_id(tenant, program),
        budget,
        AMOUNT,
        previous and scoped_id(tenant, previous),
        1000,
        (Candidate("r", slots),),
        credential="" if tenant else credential,
    )


@pytest.fixture(params=[False, True], ids=["log", "snapshots"])
def replica(request):
    return Replica(request.param)


def test_key_claimed_before_its_credential_was_known_is_answered_under_the_tenant(replica):
    """Guards against an operation that ran again once a tenant held its client's credential."""
    assert replica.claim("1") == KeyClaimed()
    assert replica.resolve("1", b"answer") == AttemptEnded()
    replica.adopt(t=(CREDENTIAL,))
    assert replica.claim("2", tenant="t", credential="") == KeyAnswered(b"answer")


def test_key_in_progress_is_answered_by_a_daemon_that_has_yet_to_honour_the_change(replica):
    assert replica.claim("1") == KeyClaimed()
    replica.adopt(t=(CREDENTIAL,))
    assert replica.claim("2", tenant="t", credential="") == KeyInProgress()
    assert replica.claim("3") == KeyInProgress()
    assert replica.resolve("1", b"answer") == AttemptEnded()
    assert replica.claim("2", tenant="t", credential="") == KeyAnswered(b"answer")
    assert replica.claim("3") == KeyAnswered(b"answer")


def test_key_claimed_by_a_daemon_that_has_yet_to_honour_the_change_is_that_of_the_tenant(replica):
    replica.adopt(t=(CREDENTIAL,))
    assert replica.claim("1") == KeyClaimed()
    assert replica.claim("2", tenant="t", credential="") == KeyInProgress()
    assert replica.apply(ReleaseOperationKey(key_of(""), "1", CREDENTIAL)) == AttemptEnded()
    assert replica.claim("1") == NoAttempt("1")
    assert replica.claim("2", tenant="t", credential="") == KeyClaimed()


@pytest.mark.parametrize("credential", ["", OTHER_CREDENTIAL])
def test_adopted_key_is_not_answered_to_others(replica, credential):
    """Guards against a tenant's answer that a client without its credential would get."""
    assert replica.claim("1") == KeyClaimed()
    replica.adopt(t=(CREDENTIAL,))
    assert replica.claim("2", credential=credential) == KeyClaimed()
    assert replica.claim("3", tenant="u", credential="") == KeyClaimed()


def test_key_claimed_without_a_credential_is_adopted_by_nobody(replica):
    assert replica.claim("1", credential="") == KeyClaimed()
    replica.adopt(t=(CREDENTIAL,))
    assert replica.claim("2", tenant="t", credential="") == KeyClaimed()
    assert replica.claim("3", credential="") == KeyInProgress()


def test_key_claimed_by_two_credentials_of_a_tenant_keeps_the_first_claim_until_both_windows_have_ended(replica):
    assert replica.claim("1", tenant="t", credential="") == KeyClaimed()
    assert replica.resolve("1", b"first", tenant="t", credential="") == AttemptEnded()
    replica.apply(Tick(FENCE, 1000))
    assert replica.claim("2") == KeyClaimed()
    assert replica.resolve("2", b"second") == AttemptEnded()
    replica.adopt(t=(CREDENTIAL,))
    replica.apply(Tick(FENCE, WINDOW_MS - 1))
    assert replica.claim("3", tenant="t", credential="") == KeyAnswered(b"first")
    replica.apply(Tick(FENCE, 1))
    assert replica.claim("4", tenant="t", credential="") == KeyClaimed()


def test_window_of_an_adopted_key_is_counted_from_its_claim(replica):
    assert replica.claim("1") == KeyClaimed()
    replica.apply(Tick(FENCE, 1000))
    replica.adopt(t=(CREDENTIAL,))
    replica.apply(Tick(FENCE, WINDOW_MS - 1001))
    assert replica.claim("2", tenant="t", credential="") == KeyInProgress()
    replica.apply(Tick(FENCE, 1))
    assert replica.claim("2", tenant="t", credential="") == KeyClaimed()


def test_turn_kept_before_its_credential_was_known_is_followed_by_the_tenant(replica):
    """Guards against a kept turn that was answered 404 once a tenant held its client's credential."""
    replica.take_turn("1", tokens=1)
    replica.adopt(t=(CREDENTIAL,))
    assert replica.take_turn("2", tokens=1, tenant="t", previous="1").chain == ("1",)
    assert replica.take_turn("3", tokens=1, tenant="t", previous="2").chain == ("1", "t\n2")
    assert replica.begin("4", previous="2") == AttemptBegun("r", ("1", "t\n2"))


def test_attempt_that_ends_after_its_credential_became_known_is_a_turn_of_the_tenant(replica):
    assert replica.begin("1") == AttemptBegun("r", ())
    replica.adopt(t=(CREDENTIAL,))
    assert replica.begin("1") == AttemptBegun("r", ())
    assert replica.apply(EndAttempt("1", 1, RETENTION_MS, 1)) == AttemptEnded()
    assert replica.begin("2", tenant="t", previous="1") == AttemptBegun("r", ("1",))
    assert replica.begin("3", tenant="u", previous="1") == NoTurn("u\n1")


@pytest.mark.parametrize("tenant, credential", [("", ""), ("", OTHER_CREDENTIAL), ("u", "")])
def test_adopted_turn_is_unknown_to_others(replica, tenant, credential):
    """Guards against a tenant's history that a client without its credential would go on from."""
    replica.take_turn("1", tokens=1)
    replica.adopt(t=(CREDENTIAL,), u=("c3",))
    assert replica.begin("2", tenant=tenant, credential=credential, previous="1") == NoTurn(scoped_id(tenant, "1"))


def test_turn_adopted_by_one_tenant_is_not_handed_on_by_a_later_adoption(replica):
    replica.take_turn("1", tokens=1)
    assert replica.claim("1") == KeyClaimed()
    replica.adopt(t=(CREDENTIAL,))
    replica.adopt(u=(CREDENTIAL,))
    assert replica.begin("2", tenant="u", previous="1") == NoTurn("u\n1")
    assert replica.claim("2", tenant="u", credential="") == KeyClaimed()
    assert replica.begin("3", tenant="t", previous="1") == AttemptBegun("r", ("1",))


def test_budget_spent_before_its_credential_was_known_counts_for_the_tenant(replica):
    """Guards against a budget that started anew once a tenant held its client's credential."""
    replica.take_turn("1", tokens=AMOUNT)
    assert replica.begin("2") == AttemptBegun("r", ())
    replica.adopt(t=(CREDENTIAL,))
    assert replica.begin("3", tenant="t") == TokensSpent(BUDGET, AMOUNT)
    assert replica.apply(AbortAttempt("2")) == AttemptEnded()
    assert replica.begin("4", tenant="t") == AttemptBegun("r", ())
    assert replica.begin("5") == TokensSpent(BUDGET, AMOUNT)
    account = replica.ledger.program_ledger.accounts["t\np"]
    assert (account.spent, account.reserved, account.open) == (AMOUNT, AMOUNT, 1)


def test_budgets_of_two_credentials_of_a_tenant_are_added_up(replica):
    replica.take_turn("1", tokens=AMOUNT)
    replica.take_turn("2", tokens=AMOUNT, tenant="t")
    replica.adopt(t=(CREDENTIAL,))
    assert replica.begin("3", tenant="t") == TokensSpent(BUDGET, 2 * AMOUNT)


@pytest.mark.parametrize("credential", ["", OTHER_CREDENTIAL])
def test_adopted_program_is_not_charged_by_others(replica, credential):
    replica.take_turn("1", tokens=AMOUNT)
    replica.adopt(t=(CREDENTIAL,))
    for attempt in "234":
        replica.begin(attempt, credential=credential)
    account = replica.ledger.program_ledger.accounts["t\np"]
    assert (account.spent, account.reserved) == (AMOUNT, 0)


def test_account_of_an_attempt_without_a_program_ends_with_it(replica):
    assert replica.begin("1", program="1") == AttemptBegun("r", ())
    replica.adopt(t=(CREDENTIAL,))
    assert replica.apply(EndAttempt("1", 1)) == AttemptEnded()
    assert replica.begin("2", program="2") == AttemptBegun("r", ())
    assert replica.apply(EndAttempt("2", 1)) == AttemptEnded()
    assert replica.ledger.program_ledger.accounts == {}


def test_leader_queues_an_attempt_at_an_adopted_turn_only_for_a_slot():
    replica = Replica()
    replica.take_turn("1", tokens=AMOUNT)
    replica.adopt(t=(CREDENTIAL,), u=("c3",))
    program_ledger = replica.ledger.program_ledger
    assert is_waiting_for_slot(program_ledger, begin("2", tenant="t", previous="1", slots=0))
    assert not is_waiting_for_slot(program_ledger, begin("2", tenant="u", previous="1", slots=0))
    assert not is_waiting_for_slot(program_ledger, begin("2", tenant="t", budget=AMOUNT, slots=0))


def test_rejected_or_repeated_change_adopts_nothing(replica):
    replica.adopt(t=(CREDENTIAL,))
    assert replica.claim("1", credential=OTHER_CREDENTIAL) == KeyClaimed()
    replica.apply(SetRouting(5, 6, b"", b"", 1000, (AdoptedCredentials("u", (OTHER_CREDENTIAL,)),)))
    assert replica.claim("2", tenant="u", credential="") == KeyClaimed()
    assert replica.claim("3", credential=OTHER_CREDENTIAL) == KeyInProgress()


def test_adoption_is_forgotten_after_its_retention(replica):
    replica.adopt(t=(CREDENTIAL,))
    replica.apply(Tick(FENCE, ADOPTION_RETENTION_MS - 1))
    assert set(replica.ledger.program_ledger.adoptions) == {CREDENTIAL}
    replica.apply(Tick(FENCE, 1))
    assert replica.ledger.program_ledger.adoptions == {}


def test_older_rules_disregard_credentials_as_the_build_before_does(replica):
    """Replicas of both builds reach one state until the rules change."""
    replica.ledger.rules = ADOPTION_RULES - 1
    replica.take_turn("1")
    assert replica.claim("1") == KeyClaimed()
    replica.adopt(t=(CREDENTIAL,))
    program_ledger = replica.ledger.program_ledger
    records = (program_ledger.turns["1"], program_ledger.accounts["p"], program_ledger.keys["k"])
    assert [record.credential for record in records] == ["", "", ""] and program_ledger.adoptions == {}
    replica.apply(Rules(ADOPTION_RULES))
    assert replica.claim("2", tenant="t", credential="") == KeyClaimed()
    assert replica.claim("3") == KeyInProgress()
