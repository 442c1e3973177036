"""Changes of the voters that the ledger accepts: adding one, removing one, or replacing one that is not a member.

A larger step could leave two quorums that do not intersect.
"""

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


def result_type(after, members=("s1", "s2", "s4"), rules=VOTER_EXCHANGE_RULES, before=VOTERS, configuration=ID):
    ledger = Ledger(voters=VOTERS, rules=rules, members=tuple(Member(name, 1) for name in members))
    op = SetVoters(configuration, before, after)
    result = apply_operation(ledger, Entry(ID, 2, 2, Member("s1", 1), 1, b""), op)
    assert ledger.voters == (after if isinstance(result, VotersSet) else VOTERS)
    return type(result)


@pytest.mark.parametrize("after", [("s1", "s2"), ("s1", "s2", "s3", "s4"), ("s1", "s2", "s4")])
def test_single_step_is_accepted(after):
    assert result_type(after) is VotersSet


@pytest.mark.parametrize("after", [("s1", "s4", "s5"), ("s1",), ("s4", "s5", "s6"), VOTERS, ("s1", "s2", "s4", "s5")])
def test_larger_or_empty_step_is_rejected(after):
    assert result_type(after) is NotHeld


def test_replacing_a_member_is_rejected():
    assert result_type(("s1", "s2", "s4"), members=("s1", "s2", "s3", "s4")) is NotHeld


def test_replacement_is_rejected_under_older_rules():
    assert result_type(("s1", "s2", "s4"), rules=VOTER_EXCHANGE_RULES - 1) is NotHeld


def test_step_from_other_voters_or_configuration_is_rejected():
    assert result_type(("s1", "s2"), before=("s1", "s2", "s3", "s4")) is NotHeld
    assert result_type(("s1", "s2"), configuration=ConfigurationId(2, "s1", 1)) is NotHeld
