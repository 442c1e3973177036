"""Operation keys belong to tenants; replicas of the build before and of this one change over at the same place."""

import pytest
from ledger_replica import FENCE, LedgerReplica

from frostpost.ledger.operations import Rules, Tick
from frostpost.program_ledger.ids import hosted_key, scoped_id
from frostpost.program_ledger.key_messages import (
    ClaimOperationKey,
    KeyAnswered,
    KeyClaimed,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.program_ledger.keys import TENANT_KEY_RULES
from frostpost.program_ledger.messages import AttemptEnded, NoAttempt

WINDOW_MS, LATER_MS = 60000, 1000


def key_of(host, key="k", tenant=""):
    return scoped_id(tenant, hosted_key(host, key))


def claim(host, attempt, key="k", tenant=""):
    return ClaimOperationKey(key_of(host, key, tenant), attempt, WINDOW_MS)


def resolve(host, attempt, answer, key="k"):
    return ResolveOperationKey(key_of(host, key), attempt, answer)


def release(host, attempt):
    return ReleaseOperationKey(key_of(host), attempt)


class Replica(LedgerReplica):
    """A ledger under the rules of the build before."""

    def __init__(self, reload=False):
        super().__init__(reload, TENANT_KEY_RULES - 1)

    def raise_rules(self):
        self.apply(Rules(TENANT_KEY_RULES))


@pytest.fixture(params=[False, True], ids=["log", "snapshots"])
def replica(request):
    return Replica(request.param)


def test_key_runs_once_at_two_hosts(replica):
    """Guards against review/4: a key ran again at another host."""
    replica.raise_rules()
    assert replica.apply(claim("a", "1")) == KeyClaimed()
    assert replica.apply(claim("b", "2")) == KeyInProgress()
    assert replica.apply(resolve("a", "1", b"answer")) == AttemptEnded()
    assert replica.apply(claim("b", "3")) == KeyAnswered(b"answer")


def test_key_claimed_under_the_older_rules_is_found_at_another_host_under_the_newer(replica):
    assert replica.apply(claim("a", "1")) == KeyClaimed()
    assert replica.apply(resolve("a", "1", b"answer")) == AttemptEnded()
    replica.raise_rules()
    assert replica.apply(claim("b", "2")) == KeyAnswered(b"answer")
    assert replica.apply(claim("a", "3")) == KeyAnswered(b"answer")


def test_key_in_progress_when_the_rules_change_is_answered_and_released_by_its_owner(replica):
    assert replica.apply(claim("a", "1", key="k")) == KeyClaimed()
    assert replica.apply(claim("a", "1", key="other")) == KeyClaimed()
    replica.raise_rules()
    assert replica.apply(claim("b", "2", key="k")) == KeyInProgress()
    assert replica.apply(resolve("a", "1", b"answer")) == AttemptEnded()
    assert replica.apply(claim("b", "2", key="k")) == KeyAnswered(b"answer")
    assert replica.apply(ReleaseOperationKey(key_of("a", "other"), "1")) == AttemptEnded()
    assert replica.apply(claim("b", "2", key="other")) == KeyClaimed()


@pytest.mark.parametrize("released_first", [False, True])
def test_released_claim_stays_released_when_it_arrives_late(replica, released_first):
    if not released_first:
        replica.raise_rules()
    assert replica.apply(release("a", "1")) == AttemptEnded()
    if released_first:
        replica.raise_rules()
    assert replica.apply(claim("a", "1")) == NoAttempt("1")
    assert replica.apply(claim("b", "2")) == KeyClaimed()


def test_keys_of_two_tenants_differ(replica):
    assert replica.apply(claim("a", "1", tenant="x")) == KeyClaimed()
    replica.raise_rules()
    assert replica.apply(claim("a", "2", tenant="y")) == KeyClaimed()
    assert replica.apply(claim("b", "3", tenant="")) == KeyClaimed()
    assert replica.apply(claim("b", "4", tenant="x")) == KeyInProgress()


def test_key_may_hold_any_character_that_a_header_value_may(replica):
    replica.raise_rules()
    assert replica.apply(claim("a", "1", key="b|k")) == KeyClaimed()
    assert replica.apply(claim("a", "2", key="k")) == KeyClaimed()
    assert replica.apply(claim("b", "3", key="b|k")) == KeyInProgress()
    assert replica.apply(claim("b", "4", key="|k")) == KeyClaimed()


def test_key_that_ran_at_two_hosts_keeps_the_first_answer_until_both_windows_have_ended(replica):
    assert replica.apply(claim("b", "1")) == KeyClaimed()
    assert replica.apply(resolve("b", "1", b"first")) == AttemptEnded()
    replica.apply(Tick(FENCE, LATER_MS))
    assert replica.apply(claim("a", "2")) == KeyClaimed()
    assert replica.apply(resolve("a", "2", b"second")) == AttemptEnded()
    replica.raise_rules()
    replica.apply(Tick(FENCE, WINDOW_MS - 1))
    assert replica.apply(claim("c", "3")) == KeyAnswered(b"first")
    replica.apply(Tick(FENCE, 1))
    assert replica.apply(claim("c", "4")) == KeyClaimed()


def test_window_is_counted_from_the_claim_through_the_change_of_the_rules(replica):
    assert replica.apply(claim("a", "1")) == KeyClaimed()
    replica.apply(Tick(FENCE, LATER_MS))
    replica.raise_rules()
    replica.apply(Tick(FENCE, WINDOW_MS - LATER_MS - 1))
    assert replica.apply(claim("b", "2")) == KeyInProgress()
    replica.apply(Tick(FENCE, 1))
    assert replica.apply(claim("b", "3")) == KeyClaimed()


def test_older_rules_tell_hosts_apart_as_the_build_before_does(replica):
    """Replicas of both builds decide alike until the rules change."""
    assert replica.apply(claim("a", "1")) == KeyClaimed()
    assert replica.apply(claim("b", "2")) == KeyClaimed()
    assert set(replica.ledger.program_ledger.keys) == {key_of("a"), key_of("b")}


def test_rules_that_are_in_force_already_change_nothing(replica):
    replica.raise_rules()
    replica.apply(claim("a", "1", key="x|y"))
    expiries = list(replica.ledger.program_ledger.expiries)
    replica.apply(Rules(TENANT_KEY_RULES))
    replica.apply(Rules(TENANT_KEY_RULES - 1))
    assert set(replica.ledger.program_ledger.keys) == {"x|y"} and replica.ledger.rules == TENANT_KEY_RULES
    assert replica.ledger.program_ledger.expiries == expiries
