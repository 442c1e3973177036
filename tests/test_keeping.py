from msgspec import Struct, msgpack

from frostpost.ledger.apply import apply, decode_state, encode
from frostpost.ledger.entities import Runner, SingletonRole
from frostpost.ledger.operations import Reserve, Rules, Settle, Tick
from frostpost.ledger.programs import history_line
from frostpost.ledger.results import BudgetSpent, Done, Reserved
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import OpenPrimary

ID, ME = ConfigurationId(1, "s1", 1), Member("e1", 1)
RUNNER = Runner("r1", "i", "127.0.0.1", 1, "pool", "a", 4)


class Book:
    def __init__(self, rules=2):
        self.ledger, self.number = Ledger(runners={"r1": RUNNER}), 0
        self.tell(OpenPrimary((ME,), (), ("s1",)))
        self.ledger.duties["ticks"] = SingletonRole(ME, 5)
        self.tell(Rules(rules))

    def tell(self, op):
        self.number += 1
        number = 0 if isinstance(op, OpenPrimary) else self.number
        self.ledger = decode_state(encode(self.ledger))
        index = self.ledger.index + 1
        self.ledger, said = apply(self.ledger, Entry(ID, index, index, ME, number, msgpack.encode(op)))
        return said

    def turn(self, output="out", retention_ms=60000, budget=100, budget_retention_ms=600000, used=40):
        said = self.tell(Reserve("p", 60, budget, retention_ms, ("pool",), (("r1", "i"),), (), budget_retention_ms))
        if isinstance(said, Reserved):
            assert isinstance(self.tell(Settle(said.index, used, history_line("in", output))), Done)
        return said

    def wait(self, wait_ms):
        self.tell(Tick(5, wait_ms))

    def lines(self):
        held = self.ledger.programs.get("p")
        return None if held is None else [x.output for x in held.lines]


def test_what_was_answered_under_a_longer_time_is_kept_for_it():
    book = Book()
    book.turn("long", retention_ms=60000)
    book.turn("short", retention_ms=1000)
    book.wait(59000)
    assert book.lines() == ["long", "short"]
    book.wait(1000)
    assert book.lines() == []


def test_a_spent_budget_outlasts_its_history():
    book = Book()
    book.turn()
    book.turn()
    book.wait(60000)
    assert book.lines() == []
    said = book.turn()
    assert isinstance(said, Reserved) and said.amount == 20 and said.lines == ()
    book.wait(599000)
    assert isinstance(book.turn(), BudgetSpent)


def test_a_budget_is_forgotten_in_the_end():
    book = Book()
    book.turn()
    book.wait(600000)
    assert book.lines() is None and not book.ledger.reservations


def test_after_a_full_stop_times_start_anew():
    book = Book()
    book.turn("long", retention_ms=60000)
    book.turn("short", retention_ms=1000)
    book.wait(59000)
    book.tell(OpenPrimary((Member("e9", 9),), (), ("s1",)))
    book.ledger.duties["ticks"] = SingletonRole(ME, 5)
    book.wait(900)
    assert book.lines() == ["long", "short"]


def test_the_rules_of_the_version_before_hold_until_all_speak_the_new():
    book = Book(rules=1)
    book.turn()
    book.wait(60000)
    assert book.lines() is None


class OldReserve(Struct, array_like=True, frozen=True, tag="reserve"):
    program: str
    amount: int
    budget: int
    retention_ms: int
    pools: tuple[str, ...]
    candidates: tuple[tuple[str, str], ...]
    marks: tuple[tuple[str, int], ...]


class OldPlace(Struct, frozen=True, array_like=True):
    member: Member
    role: str
    zone: str
    host: str
    port: int
    http_port: int


def test_the_version_before_reads_what_this_one_says():
    raw = msgpack.encode(Reserve("p", 1, 2, 3, ("a",), (("r", "i"),), (("t", 1),), 9))
    assert msgpack.decode(raw, type=OldReserve) == OldReserve("p", 1, 2, 3, ("a",), (("r", "i"),), (("t", 1),))
    from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION, Endpoint

    raw = msgpack.encode(Endpoint(ME, "edge", "a", "h", 1, 2, PROTOCOL_REVISION))
    assert msgpack.decode(raw, type=OldPlace) == OldPlace(ME, "edge", "a", "h", 1, 2)


def test_frames_recorded_of_the_version_before_are_understood():
    from pathlib import Path

    from frostpost.ledger.operations import Operation
    from frostpost.virtual_synchrony.frames import Frame
    from frostpost.virtual_synchrony.messages import Heartbeat

    types = {"frame": Frame, "op": Operation, "state": Ledger}
    rows = (Path(__file__).parent / "traces" / "wire1.frames").read_text().split("\n")
    said = [
        (kind, msgpack.decode(bytes.fromhex(raw), type=types[kind]))
        for kind, raw in (row.split(" ") for row in rows if row)
    ]
    assert len(said) == 12 and isinstance(said[0][1].body, Heartbeat)
    assert {f.endpoint.protocol_revision for kind, f in said if kind == "frame"} == {1}
    reserve = next(o for kind, o in said if kind == "op")
    assert reserve == Reserve("p", 1, 2, 3, ("a",), (("r", "i"),), (("t", 1),), 0)
    ledger = said[-1][1]
    assert ledger.rules == 1 and ledger.programs["p"].spent == 2 and ledger.programs["p"].retained_until_ms == 0


def test_a_program_has_one_expiry_waiting_however_many_its_turns():
    book = Book()
    for _ in range(20):
        book.turn(used=1)
    assert [name for _, _, name in book.ledger.expiries] == ["p"]


def test_the_doctor_tells_of_daemons_that_hold_the_rules_back():
    from frostpost.admin.doctor import of_daemon
    from frostpost.virtual_synchrony.endpoints import PROTOCOL_REVISION

    said = {
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
    assert [f.problem for f in of_daemon("e1", said)] == ["OlderRules"]
    assert [f.problem for f in of_daemon("e1", {**said, "rules": PROTOCOL_REVISION - 1})] == ["OlderRules"]
    assert list(of_daemon("e1", {**said, "rules": PROTOCOL_REVISION})) == []
