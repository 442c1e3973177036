"""Application of ordered entries to the ledger; deterministic, so that all replicas reach the same state."""

from heapq import heappop, heappush

from msgspec import msgpack

from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger import keys as program_ledger_keys
from frostpost.program_ledger.keys import TENANT_KEY_RULES

from . import config_versions, keys, programs, singleton_roles
from .operations import (
    VOTER_EXCHANGE_RULES,
    Ballot,
    ClaimKey,
    Drain,
    Finish,
    Fire,
    Look,
    OpenPrimary,
    Operation,
    Release,
    Reserve,
    Rules,
    Runners,
    SetConfig,
    SetMany,
    Settle,
    SetVoters,
    Tick,
    Unclaim,
)
from .results import Done, NotHeld, Result, StaleConfig, VotersSet
from .state import Ledger

DRAIN_RETENTION_MS = 600000
decode_operation = msgpack.Decoder(Operation).decode
encode = msgpack.Encoder().encode
decode_state = msgpack.Decoder(Ledger).decode


def apply(ledger, entry):
    """Apply one ordered entry. Returns (ledger, result); the result of a duplicate entry is None."""
    ledger.index = entry.index
    if entry.number:
        incarnation, number = ledger.sessions.get(entry.sender.name, (0, 0))
        if incarnation == entry.sender.incarnation and entry.number <= number:
            return ledger, None
        ledger.sessions[entry.sender.name] = (entry.sender.incarnation, entry.number)
    return ledger, apply_operation(ledger, entry, decode_operation(entry.payload))


def apply_operation(ledger, entry, op) -> Result:
    """Execute the operation of an entry and return its result."""
    if program_ledgers.handles(op):
        members = tuple(m.name for m in ledger.members)
        return program_ledgers.apply_operation(
            ledger.program_ledger, ledger.clock_ms, members, ledger.voters, op, ledger.rules
        )
    match op:
        case OpenPrimary(members, cores, voters):
            all_restarted = bool(ledger.members) and not set(ledger.members) & set(members)
            ledger.members, ledger.cores = members, cores
            ledger.voters = ledger.voters or voters
            programs.end_orphaned_reservations(ledger)
            keys.end_orphaned_claims(ledger)
            singleton_roles.vacate_departed(ledger)
            if all_restarted:
                keys.restart_windows(ledger)
                programs.restart_retention(ledger)
            return Done(entry.index)
        case Tick():
            return advance_clock(ledger, entry, op)
        case Reserve():
            return programs.reserve(ledger, entry, op)
        case Settle():
            return programs.settle(ledger, entry, op)
        case Release():
            return programs.release(ledger, entry, op)
        case ClaimKey():
            return keys.claim(ledger, entry, op)
        case Finish():
            return keys.finish(ledger, entry, op)
        case Unclaim():
            return keys.unclaim(ledger, entry, op)
        case Runners():
            return replace_runners(ledger, entry, op)
        case Drain():
            return set_draining(ledger, entry, op)
        case SetConfig():
            return set_config(ledger, entry, op)
        case SetMany():
            return config_versions.set_documents(ledger, entry, op)
        case Rules(version):
            return raise_rules(ledger, entry, version)
        case Look():
            return Done(entry.index)
        case Fire():
            return record_firing(ledger, entry, op)
        case SetVoters():
            return change_voters(ledger, entry, op)
        case Ballot():
            return singleton_roles.count_ballot(ledger, entry, op)
    raise TypeError(f"not a ledger operation: {type(op).__name__}")


def raise_rules(ledger, entry, version):
    """Put a newer version of the ledger's rules in force; an older one changes nothing."""
    previous, ledger.rules = ledger.rules, max(ledger.rules, version)
    if previous < TENANT_KEY_RULES <= ledger.rules:
        program_ledger_keys.disregard_hosts(ledger.program_ledger)
    return Done(entry.index)


def advance_clock(ledger, entry, op):
    """Advance the ledger's clock by the elapsed milliseconds and run the expiries that are due."""
    error = singleton_roles.fencing_error(ledger, "ticks", entry, op.fence)
    if error:
        return error
    ledger.clock_ms += max(0, op.elapsed_ms)
    while ledger.expiries and ledger.expiries[0][0] <= ledger.clock_ms:
        _, kind, name = heappop(ledger.expiries)
        EXPIRY_HANDLERS[kind](ledger, name)
    program_ledgers.expire(ledger.program_ledger, ledger.clock_ms)
    return Done(entry.index)


def replace_runners(ledger, entry, op):
    """Replace the list of runners; the draining state of unlisted ones expires after DRAIN_RETENTION_MS."""
    error = singleton_roles.fencing_error(ledger, "list", entry, op.fence)
    if error:
        return error
    ledger.runners = {r.name: r for r in op.entries}
    listed = {programs.instance_key(r) for r in op.entries}
    for key in ledger.leaving:
        if key not in listed:
            heappush(ledger.expiries, (ledger.clock_ms + DRAIN_RETENTION_MS, "leaving", key))
    return Done(entry.index)


def expire_drain(ledger, key):
    """Remove the draining state of a runner instance that is no longer listed."""
    if key not in {programs.instance_key(r) for r in ledger.runners.values()}:
        ledger.leaving.pop(key, None)


EXPIRY_HANDLERS = {"program": programs.expire, "key": keys.expire, "leaving": expire_drain}


def set_draining(ledger, entry, op):
    """Set or clear the draining state of a runner instance."""
    runner = ledger.runners.get(op.runner)
    if runner is None:
        return NotHeld("runner")
    if op.leaving:
        ledger.leaving[programs.instance_key(runner)] = entry.index
    else:
        ledger.leaving.pop(programs.instance_key(runner), None)
    return Done(entry.index)


def record_firing(ledger, entry, op):
    """Record that a calendar fired and apply its configuration change, if any."""
    error = singleton_roles.fencing_error(ledger, "calendars", entry, op.fence)
    if error:
        return error
    if op.at_s <= ledger.fired.get(op.path, 0):
        return NotHeld("calendar")
    result = Done(entry.index) if op.change is None else set_config(ledger, entry, op.change)
    if not isinstance(result, StaleConfig):
        ledger.fired[op.path] = op.at_s
    return result


def change_voters(ledger, entry, op):
    """Change the voters by one step, if the operation names the current voters and the current configuration."""
    if op.before != ledger.voters or op.configuration != entry.configuration or not is_single_step(ledger, op):
        return NotHeld("voters")
    ledger.voters = op.after
    return VotersSet(op.after)


def is_single_step(ledger, op):
    """Return whether a change adds one voter, removes one, or replaces one that is not a member.

    Every quorum of the old voters then intersects every quorum of the new ones.
    """
    removed, added = set(op.before) - set(op.after), set(op.after) - set(op.before)
    if len(removed) + len(added) == 1:
        return True
    is_exchange = len(removed) == len(added) == 1 and ledger.rules >= VOTER_EXCHANGE_RULES
    return is_exchange and removed.isdisjoint(member.name for member in ledger.members)


def set_config(ledger, entry, op):
    """Set a new version of one configuration document."""
    return config_versions.set_document(ledger, entry, op)
