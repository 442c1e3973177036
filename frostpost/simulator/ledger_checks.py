"""Checks a history against the ledger's rules."""

from collections import defaultdict

from frostpost.daemon.core import OperationDecided
from frostpost.ledger.apply import apply, decode_operation, encode
from frostpost.ledger.operations import ClaimKey, OpenPrimary, SetConfig, Settle, Unclaim
from frostpost.ledger.results import ConfigSet, Done, Reserved, Won
from frostpost.ledger.state import Ledger
from frostpost.virtual_synchrony.events import EntryApplied
from frostpost.virtual_synchrony.quorum import is_majority

from .evs_checks import Violation


def collect_entries(history):
    """Return (applied entries by index, violations), after checking that all members applied the same entries."""
    entries = {}
    for _, member, notification in history:
        if isinstance(notification, EntryApplied):
            entry = notification.entry
            if entries.setdefault(entry.index, entry) != entry:
                return entries, [Violation("ledger.order", f"index {entry.index} differs at {member}")]
    return entries, []


def check_decided_entries_present(history, entries):
    """Check that every operation decided with a result is among the entries."""
    submitted = {(e.sender, e.number): i for i, e in entries.items() if e.number}
    for _, member, notification in history:
        has_result = isinstance(notification, OperationDecided) and notification.result is not None
        if has_result and (member, notification.number) not in submitted:
            yield Violation("ledger.kept", f"{member}'s {notification.number} was decided and is lost")


def check_states_agree(world):
    """Check that nodes that have applied the same index have the same state."""
    states = {}
    for node in world.nodes.values():
        if node.core is None:
            continue
        ledger = node.core.ledger
        first = states.setdefault(ledger.index, (node.name, encode(ledger)))
        if first[1] != encode(ledger):
            yield Violation("ledger.state", f"{node.name} and {first[0]} differ at {ledger.index}")


def check_primaries(entries):
    """Check that primaries have a majority, increasing ids and a member in common with their predecessor."""
    previous = None
    for index in sorted(entries):
        operation = decode_operation(entries[index].payload)
        if not isinstance(operation, OpenPrimary):
            continue
        configuration_id = entries[index].configuration
        if not is_majority(operation.voters, {m.name for m in operation.members}):
            yield Violation("primary.majority", f"{configuration_id} opened without a majority")
        if previous is not None:
            if configuration_id <= previous[0]:
                yield Violation("primary.order", f"{configuration_id} opened after {previous[0]}")
            if not {m.name for m in operation.members} & previous[1]:
                yield Violation("primary.continuity", f"{configuration_id} shares nobody with {previous[0]}")
        previous = (configuration_id, {m.name for m in operation.members})


def check_budgets(entries, results, budget):
    """Check that no reservation is settled above its amount and that no program spends more than its budget."""
    spent = defaultdict(int)
    for entry in entries.values():
        operation = decode_operation(entry.payload)
        if isinstance(operation, Settle):
            reservation = entries[operation.reservation]
            granted = results.get((reservation.sender, reservation.number))
            if not isinstance(granted, Reserved) or operation.used > granted.amount:
                yield Violation("budget", f"{operation.used} handed out against {granted}")
            spent[decode_operation(reservation.payload).program] += operation.used
    for program, units in spent.items():
        if units > budget:
            yield Violation("budget", f"{program} was handed {units} of {budget}")


def check_keys(entries, results):
    """Check that no key is won again before it is unclaimed."""
    claimed_at = {}
    for index in sorted(entries):
        entry = entries[index]
        operation = decode_operation(entry.payload)
        result = results.get((entry.sender, entry.number))
        if isinstance(operation, ClaimKey) and result and isinstance(result, Won):
            if operation.key in claimed_at:
                yield Violation("key", f"{operation.key} was won at {claimed_at[operation.key]} and at {index}")
            claimed_at[operation.key] = index
        if isinstance(operation, Unclaim) and result and isinstance(result, Done):
            claimed_at.pop(operation.key, None)


def check_configs(entries, results):
    """Check that no configuration version is acknowledged twice."""
    acknowledged_at = {}
    for index in sorted(entries):
        entry = entries[index]
        operation = decode_operation(entry.payload)
        result = results.get((entry.sender, entry.number))
        if isinstance(operation, SetConfig) and result and isinstance(result, ConfigSet):
            key = (operation.path, result.version)
            if key in acknowledged_at:
                yield Violation("config", f"{key} was acknowledged twice")
            acknowledged_at[key] = index


def replay_entries(entries):
    """Apply the entries to a new ledger; return (results by sender and number, violations)."""
    ledger, results = Ledger(), {}
    for index in range(1, max(entries, default=0) + 1):
        entry = entries.get(index)
        if entry is None:
            return results, [Violation("ledger.order", f"nobody applied {index}")]
        ledger, result = apply(ledger, entry)
        if result is not None:
            results[(entry.sender, entry.number)] = result
    return results, []


def check_reported_results(history, results):
    """Check that members reported the results that a replay of the entries gives."""
    for _, member, notification in history:
        has_result = isinstance(notification, OperationDecided) and notification.result is not None
        if has_result and results.get((member, notification.number)) != notification.result:
            yield Violation("ledger.told", f"{member} was told otherwise of {notification.number}")


def find_ledger_violations(world, budget):
    """Return all violations of the ledger's rules. budget: every program's budget."""
    entries, order_violations = collect_entries(world.history)
    results, replay_violations = replay_entries(entries)
    return [
        *order_violations,
        *replay_violations,
        *check_decided_entries_present(world.history, entries),
        *check_reported_results(world.history, results),
        *check_states_agree(world),
        *check_primaries(entries),
        *check_budgets(entries, results, budget),
        *check_keys(entries, results),
        *check_configs(entries, results),
    ]
