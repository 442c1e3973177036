"""Check a history against the ledger's rules."""

from collections import defaultdict

from frostpost.daemon.core import OperationDecided
from frostpost.ledger.apply import apply, decode_operation, encode
from frostpost.ledger.operations import ClaimKey, OpenPrimary, SetConfig, Settle, Unclaim
from frostpost.ledger.results import ConfigSet, Done, Reserved, Won
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.events import EntryApplied
from frostpost.virtual_synchrony.quorum import is_majority

from .evs_checks import Broken


def one_order(history):
    """Return (entries by index, violations): all members applied the same entries."""
    order = {}
    for _, member, answer in history:
        if isinstance(answer, EntryApplied):
            entry = answer.entry
            if order.setdefault(entry.index, entry) != entry:
                return order, [Broken("ledger.order", f"index {entry.index} differs at {member}")]
    return order, []


def kept(history, order):
    """Check that nothing decided was lost."""
    mine = {(e.sender, e.number): i for i, e in order.items() if e.number}
    for _, member, answer in history:
        decided = isinstance(answer, OperationDecided) and answer.result is not None
        if decided and (member, answer.number) not in mine:
            yield Broken("ledger.kept", f"{member}'s {answer.number} was decided and is lost")


def agreed(world):
    """Check that members at the same index have the same state."""
    states = {}
    for node in world.nodes.values():
        if node.core is None:
            continue
        ledger = node.core.ledger
        known = states.setdefault(ledger.index, (node.name, encode(ledger)))
        if known[1] != encode(ledger):
            yield Broken("ledger.state", f"{node.name} and {known[0]} differ at {ledger.index}")


def primaries(order):
    """Check that primary configurations have majorities and follow each other."""
    last = None
    for index in sorted(order):
        op = decode_operation(order[index].payload)
        if not isinstance(op, OpenPrimary):
            continue
        id = order[index].configuration
        if not is_majority(op.voters, {m.name for m in op.members}):
            yield Broken("primary.majority", f"{id} opened without a majority")
        if last is not None:
            if id <= last[0]:
                yield Broken("primary.order", f"{id} opened after {last[0]}")
            if not {m.name for m in op.members} & last[1]:
                yield Broken("primary.continuity", f"{id} shares nobody with {last[0]}")
        last = (id, {m.name for m in op.members})


def budgets(order, results, budget_of):
    """Check that no program spent more than its budget."""
    spent = defaultdict(int)
    for entry in order.values():
        op = decode_operation(entry.payload)
        if isinstance(op, Settle):
            entry_of = order[op.reservation]
            granted = results.get((entry_of.sender, entry_of.number))
            if not isinstance(granted, Reserved) or op.used > granted.amount:
                yield Broken("budget", f"{op.used} handed out against {granted}")
            spent[decode_operation(entry_of.payload).program] += op.used
    for program, units in spent.items():
        if units > budget_of:
            yield Broken("budget", f"{program} was handed {units} of {budget_of}")


def keys(order, results):
    """Check that no key was won twice."""
    held = {}
    for index in sorted(order):
        entry = order[index]
        op = decode_operation(entry.payload)
        said = results.get((entry.sender, entry.number))
        if isinstance(op, ClaimKey) and said and isinstance(said, Won):
            if op.key in held:
                yield Broken("key", f"{op.key} was won at {held[op.key]} and at {index}")
            held[op.key] = index
        if isinstance(op, Unclaim) and said and isinstance(said, Done):
            held.pop(op.key, None)


def configs(order, results):
    """Check that no configuration version was acknowledged twice."""
    acked = {}
    for index in sorted(order):
        entry = order[index]
        op = decode_operation(entry.payload)
        said = results.get((entry.sender, entry.number))
        if isinstance(op, SetConfig) and said and isinstance(said, ConfigSet):
            key = (op.path, said.version)
            if key in acked:
                yield Broken("config", f"{key} was acknowledged twice")
            acked[key] = index


def replayed(order):
    """Apply the entries again; return (results, violations)."""
    ledger, results = Ledger(), {}
    for index in range(1, max(order, default=0) + 1):
        entry = order.get(index)
        if entry is None:
            return results, [Broken("ledger.order", f"nobody applied {index}")]
        ledger, result = apply(ledger, entry)
        if result is not None:
            results[(entry.sender, entry.number)] = result
    return results, []


def told(history, results):
    """Check that members were told the results that the order gives."""
    for _, member, answer in history:
        decided = isinstance(answer, OperationDecided) and answer.result is not None
        if decided and results.get((member, answer.number)) != answer.result:
            yield Broken("ledger.told", f"{member} was told otherwise of {answer.number}")


def ledger(world, budget_of):
    """Return all violations of the ledger's rules."""
    order, broken = one_order(world.history)
    results, gaps = replayed(order)
    return [
        *broken,
        *gaps,
        *kept(world.history, order),
        *told(world.history, results),
        *agreed(world),
        *primaries(order),
        *budgets(order, results, budget_of),
        *keys(order, results),
        *configs(order, results),
    ]
