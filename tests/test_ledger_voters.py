"""Steps of the voters that the ledger takes: one more, one less, or an exchange for one that is no member."""

import pytest

from frostpost.ledger.apply import apply_operation
from frostpost.ledger.operations import VOTER_EXCHANGE_RULES
from frostpost.ledger.results import NotHeld, VotersSet
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import SetVoters

ID = ConfigurationId(3, "s1", 1)
VOTERS = ("s1", "s2", "s3")


def result(after, members=("s1", "s2", "s4"), rules=VOTER_EXCHANGE_RULES, before=VOTERS, configuration=ID):
    ledger = Ledger(voters=VOTERS, rules=rules, members=tuple(Member(name, 1) for name in members))
    op = SetVoters(configuration, before, after)
    found = apply_operation(ledger, Entry(ID, 2, 2, Member("s1", 1), 1, b""), op)
    assert ledger.voters == (after if isinstance(found, VotersSet) else VOTERS)
    return type(found)


@pytest.mark.parametrize("after", [("s1", "s2"), ("s1", "s2", "s3", "s4"), ("s1", "s2", "s4")])
def test_one_step_is_taken(after):
    assert result(after) is VotersSet


@pytest.mark.parametrize("after", [("s1", "s4", "s5"), ("s1",), ("s4", "s5", "s6"), VOTERS, ("s1", "s2", "s4", "s5")])
def test_more_than_one_step_is_not_taken(after):
    assert result(after) is NotHeld


def test_a_member_is_not_exchanged():
    assert result(("s1", "s2", "s4"), members=("s1", "s2", "s3", "s4")) is NotHeld


def test_nothing_is_exchanged_while_a_daemon_may_not_know_of_it():
    assert result(("s1", "s2", "s4"), rules=VOTER_EXCHANGE_RULES - 1) is NotHeld


def test_a_step_counts_for_the_voters_and_the_configuration_that_it_names():
    assert result(("s1", "s2"), before=("s1", "s2", "s3", "s4")) is NotHeld
    assert result(("s1", "s2"), configuration=ConfigurationId(2, "s1", 1)) is NotHeld
