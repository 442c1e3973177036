from msgspec import msgpack
from pytest import fixture
from pytest_bdd import given, parsers, scenarios, then, when

from frostpost.ledger.apply import apply, decode_state
from frostpost.ledger.apply import encode as encode_state
from frostpost.ledger.entities import Runner
from frostpost.ledger.operations import Ballot, ClaimKey, Drain, Finish, Reserve, SetConfig, Settle, Tick
from frostpost.ledger.programs import history_entry
from frostpost.ledger.results import Reserved, Shared
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.configuration import ConfigurationId, Entry
from frostpost.virtual_synchrony.endpoints import Member
from frostpost.virtual_synchrony.events import OpenPrimary

scenarios("features/ledger.feature")
ID = ConfigurationId(1, "s1", 1)


class Replica:
    """A ledger that is encoded and decoded before each entry, and the results of the entries."""

    def __init__(self):
        self.ledger, self.results, self.numbers, self.last_entry, self.fences = Ledger(), [], {}, None, {}
        self.incarnation = 1

    def deliver(self, sender, op, unrecorded=False):
        self.numbers[sender] = self.numbers.get(sender, 0) + 1
        number = 0 if isinstance(op, OpenPrimary) else self.numbers[sender]
        entry = Entry(
            ID,
            self.ledger.index + 1,
            self.ledger.index + 1,
            Member(sender, self.incarnation),
            number,
            msgpack.encode(op),
        )
        self.last_entry = entry
        self.apply(entry, unrecorded)

    def apply(self, entry, unrecorded=False):
        self.ledger = decode_state(encode_state(self.ledger))
        self.ledger, result = apply(self.ledger, entry)
        if not unrecorded:
            self.results.append(result)

    def open_configuration(self, names, unrecorded):
        members = tuple(Member(n, self.incarnation) for n in names)
        self.deliver("c1", OpenPrimary(members, tuple(n for n in names if n[0] == "c"), ("s1",)), unrecorded)


@fixture
def replica():
    return Replica()


@given("members c1, c2, e1 and e2")
def members(replica):
    replica.open_configuration(["c1", "c2", "e1", "e2"], True)


@given("runners r1 and r2 that accept 1 call each")
def runners(replica):
    for name in ("r1", "r2"):
        replica.ledger.runners[name] = Runner(name, "i", "127.0.0.1", 1, "pool", "a", 1)


@when(parsers.parse("{sender} reserves {amount:d} of {budget:d} for {program} on r1 or r2"))
def reserve(replica, sender, amount, budget, program):
    replica.deliver(sender, Reserve(program, amount, budget, 60000, ("pool",), (("r1", "i"), ("r2", "i")), ()))


@when(parsers.parse("{sender} settles it with {used:d}"))
def settle(replica, sender, used):
    index = next(result.index for result in reversed(replica.results) if isinstance(result, Reserved))
    replica.deliver(sender, Settle(index, used, history_entry("in", "out")))


@when(parsers.parse("{sender} drains {runner}"))
def drain(replica, sender, runner):
    replica.deliver(sender, Drain(runner, True))


@when(parsers.parse("a configuration without {departed} opens"))
def open_without(replica, departed):
    replica.open_configuration([m.name for m in replica.ledger.members if m.name != departed], False)


@when("all members restart")
def restart_all(replica):
    replica.incarnation += 1
    replica.open_configuration([m.name for m in replica.ledger.members], False)


@when(parsers.parse("{sender} claims {key} with body {body}"))
def claim(replica, sender, key, body):
    replica.deliver(sender, ClaimKey(key, body, 60000))


@when(parsers.parse("{sender} finishes {key}"))
def finish(replica, sender, key):
    replica.deliver(sender, Finish(key, "done", b"1"))


@when(parsers.parse("{seconds:d} seconds pass"))
def advance_clock(replica, seconds):
    if replica.ledger.duties["ticks"].holder is None:
        elect(replica, "c1", True)
    for _ in range(seconds):
        replica.deliver("c1", Tick(replica.fences["c1"], 1000), True)


def elect(replica, candidate, unrecorded=True):
    role = replica.ledger.duties["ticks"]
    while role.holder is None:
        for voter in replica.ledger.cores:
            replica.deliver(voter, Ballot("ticks", replica.ledger.duties["ticks"].round, candidate), unrecorded)
        role = replica.ledger.duties["ticks"]
    replica.fences[candidate] = role.fence


@when(parsers.parse("{candidate} is elected to the role ticks"))
def elect_to_ticks(replica, candidate):
    elect(replica, candidate)


@when(parsers.parse("{sender} ticks with its old fencing token"))
def tick_with_old_token(replica, sender):
    replica.deliver(sender, Tick(replica.fences[sender], 1000))


@when("the last entry is delivered again")
def redeliver(replica):
    last = replica.last_entry
    replica.apply(Entry(ID, last.ordinal + 1, last.index + 1, last.sender, last.number, last.payload))


@when(parsers.parse("{sender} sets {path} on version {version:d}"))
def set_config(replica, sender, path, version):
    replica.deliver(sender, SetConfig(path, "d", 1, version, sender, 1, ()))


def describe(result):
    if isinstance(result, Reserved):
        return f"Reserved {result.runner.name}"
    if isinstance(result, Shared):
        return f"Shared {result.status}"
    return "None" if result is None else type(result).__name__


@then(parsers.parse("the results are {descriptions}"))
def check_results(replica, descriptions):
    assert [describe(result) for result in replica.results] == descriptions.split(", ")


@then(parsers.parse("the last result is {description}"))
def check_last_result(replica, description):
    assert describe(replica.results[-1]) == description


@then(parsers.parse("the reserved amounts are {amounts}"))
def check_reserved_amounts(replica, amounts):
    reserved = [result.amount for result in replica.results if isinstance(result, Reserved)]
    assert reserved == [int(amount) for amount in amounts.split(", ")]
