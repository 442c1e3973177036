"""Retention of histories and budgets, across full stops and with the rules and formats of the previous version."""

from msgspec import Struct, msgpack

from frostpost.ledger.apply import apply, decode_state, encode
from frostpost.ledger.entities import Runner, SingletonRole
from frostpost.ledger.operations import Reserve, Rules, Settle, Tick
from frostpost.ledger.programs import history_entry
from frostpost.ledger.results import BudgetSpent, Done, Reserved
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import OpenPrimary

ID, MEMBER = ConfigurationId(1, "s1", 1), Member("e1", 1)
RUNNER = Runner("r1", "i", "127.0.0.1", 1, "pool", "a", 4)


class SingleMemberLedger:
    """A ledger with one member, which holds the role "ticks", and one runner."""

    def __init__(self, rules=2):
        self.ledger, self.number = Ledger(runners={"r1": RUNNER}), 0
        self.apply(OpenPrimary((MEMBER,), (), ("s1",)))
        self.ledger.duties["ticks"] = SingletonRole(MEMBER, 5)
        self.apply(Rules(rules))

    def apply(self, op):
        self.number += 1
        number = 0 if isinstance(op, OpenPrimary) else self.number
        self.ledger = decode_state(encode(self.ledger))
        index = self.ledger.index + 1
        self.ledger, result = apply(self.ledger, Entry(ID, index, index, MEMBER, number, msgpack.encode(op)))
        return result

    def run_turn(self, output="out", retention_ms=60000, budget=100, budget_retention_ms=600000, used=40):
        result = self.apply(Reserve("p", 60, budget, retention_ms, ("pool",), (("r1", "i"),), (), budget_retention_ms))
        if isinstance(result, Reserved):
            assert isinstance(self.apply(Settle(result.index, used, history_entry("in", output))), Done)
        return result

    def advance_clock(self, elapsed_ms):
        self.apply(Tick(5, elapsed_ms))

    def outputs(self):
        program = self.ledger.programs.get("p")
        return None if program is None else [line.output for line in program.lines]


def test_shorter_retention_does_not_shorten_that_of_earlier_turns():
    replica = SingleMemberLedger()
    replica.run_turn("long", retention_ms=60000)
    replica.run_turn("short", retention_ms=1000)
    replica.advance_clock(59000)
    assert replica.outputs() == ["long", "short"]
    replica.advance_clock(1000)
    assert replica.outputs() == []


def test_budget_is_retained_after_its_history_has_expired():
    replica = SingleMemberLedger()
    replica.run_turn()
    replica.run_turn()
    replica.advance_clock(60000)
    assert replica.outputs() == []
    result = replica.run_turn()
    assert isinstance(result, Reserved) and result.amount == 20 and result.lines == ()
    replica.advance_clock(599000)
    assert isinstance(replica.run_turn(), BudgetSpent)


def test_program_is_removed_when_its_budget_expires():
    replica = SingleMemberLedger()
    replica.run_turn()
    replica.advance_clock(600000)
    assert replica.outputs() is None and not replica.ledger.reservations


def test_full_stop_restarts_retention():
    replica = SingleMemberLedger()
    replica.run_turn("long", retention_ms=60000)
    replica.run_turn("short", retention_ms=1000)
    replica.advance_clock(59000)
    replica.apply(OpenPrimary((Member("e9", 9),), (), ("s1",)))
    replica.ledger.duties["ticks"] = SingletonRole(MEMBER, 5)
    replica.advance_clock(900)
    assert replica.outputs() == ["long", "short"]


def test_older_rules_remove_a_program_with_its_history():
    replica = SingleMemberLedger(rules=1)
    replica.run_turn()
    replica.advance_clock(60000)
    assert replica.outputs() is None


class PreviousReserve(Struct, array_like=True, frozen=True, tag="reserve"):
    program: str
    amount: int
    budget: int
    retention_ms: int
    pools: tuple[str, ...]
    candidates: tuple[tuple[str, str], ...]
    marks: tuple[tuple[str, int], ...]


class PreviousEndpoint(Struct, frozen=True, array_like=True):
    member: Member
    role: str
    zone: str
    host: str
    port: int
    http_port: int


def test_previous_version_decodes_current_messages():
    raw = msgpack.encode(Reserve("p", 1, 2, 3, ("a",), (("r", "i"),), (("t", 1),), 9))
    assert msgpack.decode(raw, type=PreviousReserve) == PreviousReserve(
        "p", 1, 2, 3, ("a",), (("r", "i"),), (("t", 1),)
    )
    from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint

    raw = msgpack.encode(Endpoint(MEMBER, "edge", "a", "h", 1, 2, PROTOCOL_REVISION))
    assert msgpack.decode(raw, type=PreviousEndpoint) == PreviousEndpoint(MEMBER, "edge", "a", "h", 1, 2)


def test_recorded_frames_of_the_previous_version_are_decoded():
    from pathlib import Path

    from frostpost.ledger.operations import Operation
    from frostpost.virtual_synchrony.frames import Frame
    from frostpost.virtual_synchrony.messages import Heartbeat

    types = {"frame": Frame, "op": Operation, "state": Ledger}
    rows = (Path(__file__).parent / "traces" / "wire1.frames").read_text().split("\n")
    decoded = [
        (kind, msgpack.decode(bytes.fromhex(raw), type=types[kind]))
        for kind, raw in (row.split(" ") for row in rows if row)
    ]
    assert len(decoded) == 12 and isinstance(decoded[0][1].body, Heartbeat)
    assert {frame.endpoint.protocol_revision for kind, frame in decoded if kind == "frame"} == {1}
    reserve = next(op for kind, op in decoded if kind == "op")
    assert reserve == Reserve("p", 1, 2, 3, ("a",), (("r", "i"),), (("t", 1),), 0)
    ledger = decoded[-1][1]
    assert ledger.rules == 1 and ledger.programs["p"].spent == 2 and ledger.programs["p"].retained_until_ms == 0


def test_program_has_one_scheduled_expiry_after_many_turns():
    replica = SingleMemberLedger()
    for _ in range(20):
        replica.run_turn(used=1)
    assert [name for _, _, name in replica.ledger.expiries] == ["p"]


def test_doctor_reports_daemons_with_older_rules():
    from frostpost.admin.doctor import check_daemon
    from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION

    status = {
        "primary": True,
        "serving": True,
        "leaving": False,
        "unwell": False,
        "disk_free_part": None,
        "corrupt": None,
        "honoured": 1,
        "config_index": 1,
        "counts": {},
    }
    assert [finding.problem for finding in check_daemon("e1", status)] == ["OlderRules"]
    assert [finding.problem for finding in check_daemon("e1", {**status, "rules": PROTOCOL_REVISION - 1})] == [
        "OlderRules"
    ]
    assert list(check_daemon("e1", {**status, "rules": PROTOCOL_REVISION})) == []
