from msgspec import msgpack
from pytest import fixture
from pytest_bdd import given, parsers, scenarios, then, when

from frostpost.ledger.apply import apply, decode_state
from frostpost.ledger.apply import encode as encode_state
from frostpost.ledger.entities import Runner
from frostpost.ledger.operations import Ballot, ClaimKey, Drain, Finish, Reserve, SetConfig, Settle, Tick
from frostpost.ledger.programs import history_line
from frostpost.ledger.results import Reserved, Shared
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import OpenPrimary

scenarios("features/ledger.feature")
ID = ConfigurationId(1, "s1", 1)


class Table:
    def __init__(self):
        self.ledger, self.results, self.number, self.last, self.fence = Ledger(), [], {}, None, {}
        self.boot = 1

    def deliver(self, sender, op, quiet=False):
        self.number[sender] = self.number.get(sender, 0) + 1
        number = 0 if isinstance(op, OpenPrimary) else self.number[sender]
        entry = Entry(
            ID, self.ledger.index + 1, self.ledger.index + 1, Member(sender, self.boot), number, msgpack.encode(op)
        )
        self.last = entry
        self.act(entry, quiet)

    def act(self, entry, quiet=False):
        self.ledger = decode_state(encode_state(self.ledger))
        self.ledger, result = apply(self.ledger, entry)
        if not quiet:
            self.results.append(result)

    def open(self, names, quiet):
        members = tuple(Member(n, self.boot) for n in names)
        self.deliver("c1", OpenPrimary(members, tuple(n for n in names if n[0] == "c"), ("s1",)), quiet)


@fixture
def table():
    return Table()


@given("members c1, c2, e1 and e2")
def members(table):
    table.open(["c1", "c2", "e1", "e2"], True)


@given("runners r1 and r2 with room for 1 each")
def runners(table):
    for n in ("r1", "r2"):
        table.ledger.runners[n] = Runner(n, "i", "127.0.0.1", 1, "pool", "a", 1)


@when(parsers.parse("{who} reserves {amount:d} of {budget:d} for {program} on r1 or r2"))
def reserves(table, who, amount, budget, program):
    table.deliver(who, Reserve(program, amount, budget, 60000, ("pool",), (("r1", "i"), ("r2", "i")), ()))


@when(parsers.parse("{who} settles it with {used:d}"))
def settles(table, who, used):
    index = next(v.index for v in reversed(table.results) if isinstance(v, Reserved))
    table.deliver(who, Settle(index, used, history_line("in", "out")))


@when(parsers.parse("{who} drains {runner}"))
def drains(table, who, runner):
    table.deliver(who, Drain(runner, True))


@when(parsers.parse("a configuration without {who} opens"))
def without(table, who):
    table.open([m.name for m in table.ledger.members if m.name != who], False)


@when("all stop and come back")
def stop(table):
    table.boot += 1
    table.open([m.name for m in table.ledger.members], False)


@when(parsers.parse("{who} claims {key} with body {body}"))
def claims(table, who, key, body):
    table.deliver(who, ClaimKey(key, body, 60000))


@when(parsers.parse("{who} finishes {key}"))
def finishes(table, who, key):
    table.deliver(who, Finish(key, "done", b"1"))


@when(parsers.parse("{seconds:d} seconds pass"))
def passes(table, seconds):
    if table.ledger.duties["ticks"].holder is None:
        win(table, "c1", True)
    for _ in range(seconds):
        table.deliver("c1", Tick(table.fence["c1"], 1000), True)


def win(table, who, quiet=True):
    duty = table.ledger.duties["ticks"]
    while duty.holder is None:
        for voter in table.ledger.cores:
            table.deliver(voter, Ballot("ticks", table.ledger.duties["ticks"].round, who), quiet)
        duty = table.ledger.duties["ticks"]
    table.fence[who] = duty.fence


@when(parsers.parse("{who} wins the duty ticks"))
def wins(table, who):
    win(table, who)


@when(parsers.parse("{who} ticks with its old fence"))
def old_tick(table, who):
    table.deliver(who, Tick(table.fence[who], 1000))


@when("the last message is delivered again")
def again(table):
    last = table.last
    table.act(Entry(ID, last.ordinal + 1, last.index + 1, last.sender, last.number, last.payload))


@when(parsers.parse("{who} sets {path} on version {version:d}"))
def sets(table, who, path, version):
    table.deliver(who, SetConfig(path, "d", 1, version, who, 1, ()))


def word(result):
    if isinstance(result, Reserved):
        return f"Reserved {result.runner.name}"
    if isinstance(result, Shared):
        return f"Shared {result.status}"
    return "None" if result is None else type(result).__name__


@then(parsers.parse("the results are {words}"))
def results_are(table, words):
    assert [word(v) for v in table.results] == words.split(", ")


@then(parsers.parse("the last result is {said}"))
def last_is(table, said):
    assert word(table.results[-1]) == said


@then(parsers.parse("the grants are {amounts}"))
def grants(table, amounts):
    found = [v.amount for v in table.results if isinstance(v, Reserved)]
    assert found == [int(a) for a in amounts.split(", ")]
