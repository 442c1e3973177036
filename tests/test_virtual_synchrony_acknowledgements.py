"""Up to where the sequencer declares the order safe, from what members have acknowledged, received and synced."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack

from frostpost.virtual_synchrony import acknowledgements
from frostpost.virtual_synchrony.bounds import Bounds
from frostpost.virtual_synchrony.configuration import Configuration, ConfigurationId, Entry
from frostpost.virtual_synchrony.durable_log import DurableLog
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.events import Output, SetVoters
from frostpost.virtual_synchrony.messages import BatchAck, SafeUpdate
from frostpost.virtual_synchrony.quorum import majority_watermark
from frostpost.virtual_synchrony.state import create_synchrony

NAMES = ("s1", "s2", "s3", "s4")
ID = ConfigurationId(2, "s1", 1)


@pytest.fixture
def sequencer():
    """s1 orders for four members, of which s1 to s3 vote in an opened primary."""
    endpoint = Endpoint(Member("s1", 1), "storage", "z", "h", 1, 0)
    synchrony, _ = create_synchrony(endpoint, Bounds(), (), NAMES[:3], DurableLog(), 0)
    synchrony.configuration = Configuration(ID, tuple(Member(name, 1) for name in NAMES), "s1")
    synchrony.primary.eligible = synchrony.primary.opened = True
    synchrony.primary.voters = synchrony.voters = NAMES[:3]
    return synchrony


def safe_after(synchrony, acks):
    """The watermark that the members are told once these acknowledgements have come, by member."""
    out = Output()
    for name, (acknowledged, received, synced) in acks.items():
        acknowledgements.on_batch_ack(synchrony, out, name, BatchAck(ID, acknowledged, received, synced))
    return max((body.safe_watermark for _, body in out.sends if isinstance(body, SafeUpdate)), default=0)


def test_what_all_have_acknowledged_is_safe(sequencer):
    assert safe_after(sequencer, dict.fromkeys(NAMES, (5, 5, 5))) == 5


def test_acknowledgements_of_the_build_before_are_enough_by_themselves(sequencer):
    assert safe_after(sequencer, dict.fromkeys(NAMES, (5, 0, 0))) == 5


def test_a_slow_voter_that_has_received_holds_nobody_up(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (7, 7, 7), "s4": (7, 7, 0), "s3": (2, 7, 2)}) == 7


def test_nothing_is_safe_that_some_member_has_not_received(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (7, 7, 7), "s3": (7, 7, 7), "s4": (3, 4, 0)}) == 4


def test_receipts_of_a_majority_are_not_enough(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (2, 7, 2), "s3": (1, 7, 1), "s4": (7, 7, 0)}) == 2


def test_learners_do_not_count_for_the_majority(sequencer):
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s2": (2, 7, 2), "s3": (1, 7, 1), "s4": (7, 7, 7)}) == 2


@pytest.mark.parametrize("table", ["pending_entries", "pending"])
def test_while_voters_change_a_majority_of_both_sets_is_asked_for(sequencer, table):
    request = msgpack.encode(SetVoters(ID, NAMES[:3], ("s1", "s2", "s4")))
    entries = sequencer.order.pending if table == "pending" else sequencer.pending_entries
    entries[3] = Entry(ID, 3, 3, Member("s1", 1), 1, request)
    acks = {"s1": (7, 7, 7), "s3": (7, 7, 7), "s2": (1, 7, 1), "s4": (2, 7, 2)}
    assert safe_after(sequencer, acks) == 2


def test_before_a_primary_opens_its_first_voters_and_those_asked_for_count(sequencer):
    sequencer.primary.opened, sequencer.primary.pending_voters = False, (("s1", "s2", "s4"),)
    sequencer.voters = ("s9",)
    assert safe_after(sequencer, {"s1": (7, 7, 7), "s3": (7, 7, 7), "s2": (1, 7, 1), "s4": (2, 7, 2)}) == 2


@given(
    st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 9), st.integers(0, 9), st.integers(0, 9)), max_size=30)
)
def test_what_is_safe_only_grows_and_is_held_by_a_majority(acks):
    endpoint = Endpoint(Member("s1", 1), "storage", "z", "h", 1, 0)
    synchrony, _ = create_synchrony(endpoint, Bounds(), (), NAMES[:3], DurableLog(), 0)
    synchrony.configuration = Configuration(ID, tuple(Member(name, 1) for name in NAMES), "s1")
    synchrony.primary.eligible = synchrony.primary.opened = True
    synchrony.voters = NAMES[:3]
    safe = 0
    for name, received, held_back, lead in acks:
        synced = max(0, received - held_back)
        told = safe_after(synchrony, {name: (synced, received, synced if name != "s4" else max(0, synced - lead))})
        assert told == 0 or told > safe
        safe = max(safe, told)
        synchrony.order.safe_watermark = safe
        order = synchrony.order
        assert all(order.receipts.get(n, 0) >= safe for n in NAMES) or safe == 0
        assert sum(order.synced.get(n, 0) >= safe for n in NAMES[:3]) >= 2


@given(st.lists(st.integers(0, 50), min_size=1, max_size=7))
def test_a_majority_watermark_is_reached_by_more_than_half_and_no_higher_one_is(watermarks):
    voters = tuple(f"s{n}" for n in range(len(watermarks)))
    by_name = dict(zip(voters, watermarks, strict=True))
    mark = majority_watermark(voters, by_name)
    assert sum(w >= mark for w in watermarks) * 2 > len(voters)
    assert sum(w > mark for w in watermarks) * 2 <= len(voters)


def test_without_voters_nothing_is_held_by_a_majority():
    assert majority_watermark((), {"s1": 5}) == 0
