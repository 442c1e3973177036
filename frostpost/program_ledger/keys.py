"""Operation keys: the first attempt with a key is executed, later ones get its answer, for a window from the claim.

A key belongs to its tenant. Older rules of the ledger kept it by the host that the client asked for as well; replicas
change over at the same place in the order, when the rules are raised.
"""

from heapq import heappush

from msgspec import structs

from .ids import scope_of, tenant_key
from .key_messages import KeyAnswered, KeyClaimed, KeyInProgress
from .messages import AttemptEnded, NoAttempt
from .state import OperationKey
from .turns import add_tombstone

# First version of the ledger's rules that records an operation key by its tenant and the key alone.
TENANT_KEY_RULES = 5


def record_name(op, rules):
    """Return the name under which these rules record the key of an operation."""
    return tenant_key(op.key) if rules >= TENANT_KEY_RULES else op.key


def claim(program_ledger, now_ms, op, name):
    """Give a key to its first attempt; others get its answer, or KeyInProgress while there is none."""
    if tombstone_name(op) in program_ledger.tombs:
        return NoAttempt(op.attempt)
    existing = program_ledger.keys.get(name)
    if existing is None:
        credential = "" if scope_of(name) else op.credential
        add_record(program_ledger, name, OperationKey(op.attempt, now_ms + op.window_ms, credential=credential))
        return KeyClaimed()
    if existing.answered:
        return KeyAnswered(existing.answer)
    return KeyClaimed() if existing.attempt == op.attempt else KeyInProgress()


def add_record(program_ledger, name, record):
    """Add the record of a key until the end of its window."""
    program_ledger.keys[name] = record
    heappush(program_ledger.expiries, (record.until_ms, "key", name))


def merge_record(program_ledger, name, record):
    """Add the record of a key; if there is one already, the first claim stays until the last window has ended."""
    existing = program_ledger.keys.get(name)
    if existing is not None:
        first, last = sorted((existing, record), key=lambda claimed: claimed.until_ms)
        record = structs.replace(first, until_ms=last.until_ms)
    add_record(program_ledger, name, record)


def tombstone_name(op):
    """Return the name of the tombstone for a key that an attempt released.

    It has the key as in the operation, under all rules: an attempt sends the same form each time.
    """
    return f"{op.attempt}|{op.key}"


def resolve(program_ledger, now_ms, op, name):
    """Record the answer of a key, as reported by the attempt that owns it."""
    existing = program_ledger.keys.get(name)
    if existing is None or existing.attempt != op.attempt:
        return NoAttempt(op.attempt)
    if not existing.answered:
        existing.answer, existing.answered = op.answer, True
    return AttemptEnded()


def release(program_ledger, now_ms, op, name):
    """Release a key whose request was not executed; a later claim by the same attempt is refused."""
    existing = program_ledger.keys.get(name)
    if existing is not None and existing.attempt == op.attempt:
        if existing.answered:
            return NoAttempt(op.attempt)
        del program_ledger.keys[name]
    add_tombstone(program_ledger, now_ms, tombstone_name(op))
    return AttemptEnded()


def disregard_hosts(program_ledger):
    """Record all keys by their tenants alone.

    Of a key that was claimed at several hosts the first claim stays, until the last of the windows has ended.
    """
    hosted, program_ledger.keys = program_ledger.keys, {}
    for hosted_name in sorted(hosted, key=lambda name: (hosted[name].until_ms, name)):
        merge_record(program_ledger, tenant_key(hosted_name), hosted[hosted_name])


def expire_key(program_ledger, now_ms, name):
    """Remove a key whose window has passed."""
    existing = program_ledger.keys.get(name)
    if existing is not None and existing.until_ms <= now_ms:
        del program_ledger.keys[name]
