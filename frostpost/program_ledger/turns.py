"""Attempts, turns and token budgets.

The output tokens of a program never exceed its budget by more than the reservation of one attempt: an attempt begins
only while the tokens spent and reserved are below the budget, and an attempt whose end is never reported remains
reserved in full.
"""

from heapq import heappush

from .ids import scope_of
from .messages import AttemptBegun, AttemptEnded, NoAttempt, NoCapacity, NoTurn, TokensSpent
from .placement import assign_runner, free_slots, release_slot
from .record_owners import tenant_of, with_recorded_names
from .state import Account, Attempt, Turn

ACCOUNT_RETENTION_MS = 7200000
TOMBSTONE_RETENTION_MS = 60000
CHAIN_RETENTION_MARGIN_MS = 60000
SLOT_RELEASE_MARGIN_MS = 1000
# Budget of a program that has none.
UNBOUNDED_BUDGET_TOKENS = 1 << 60


def chain_of(program_ledger, name):
    """Return the names of a turn and its predecessors, oldest first; None if one of them is no longer retained."""
    names = []
    while name:
        if name not in program_ledger.turns:
            return None
        names.append(name)
        name = program_ledger.turns[name].previous
    return tuple(reversed(names))


def begin_result(program_ledger, name, attempt):
    """Return the runner and chain of an open attempt, or NoAttempt if the chain is no longer retained."""
    chain = chain_of(program_ledger, attempt.previous)
    return NoAttempt(name) if chain is None else AttemptBegun(attempt.runner, chain)


def is_waiting_for_slot(program_ledger, op):
    """Return whether `begin` would return NoCapacity, which leaves the ledger unchanged."""
    name = op.attempt
    if name in program_ledger.tombs or name in program_ledger.turns or name in program_ledger.attempts:
        return False
    op = with_recorded_names(program_ledger, op)
    if op is None:
        return False
    if is_budget_spent(program_ledger.accounts.get(op.program), op.budget or UNBOUNDED_BUDGET_TOKENS):
        return False
    return not free_slots(program_ledger, op.candidates)


def is_budget_spent(account, budget):
    """Return whether a program's budget leaves no tokens for another attempt."""
    return account is not None and account.spent + account.reserved >= budget


def begin(program_ledger, now_ms, op):
    """Reserve budget and a runner for an attempt; idempotent."""
    if op.attempt in program_ledger.tombs or op.attempt in program_ledger.turns:
        return program_ledger.refused.get(op.attempt) or NoAttempt(op.attempt)
    attempt = program_ledger.attempts.get(op.attempt)
    if attempt is not None:
        return begin_result(program_ledger, op.attempt, attempt)
    recorded = with_recorded_names(program_ledger, op)
    if recorded is None:
        return refuse(program_ledger, now_ms, op.attempt, NoTurn(op.previous))
    op = recorded
    account = program_ledger.accounts.get(op.program)
    budget = op.budget or UNBOUNDED_BUDGET_TOKENS
    if is_budget_spent(account, budget):
        account.touched_ms = now_ms
        return refuse(program_ledger, now_ms, op.attempt, TokensSpent(budget, account.spent))
    runner = assign_runner(program_ledger, now_ms, op)
    if runner is None:
        return NoCapacity(wait_ms=20)
    if account is None:
        account = program_ledger.accounts[op.program] = new_account(op, budget, now_ms)
        heappush(program_ledger.expiries, (now_ms + ACCOUNT_RETENTION_MS, "account", op.program))
    account.budget, account.touched_ms = budget, now_ms
    account.reserved += op.amount
    account.open += 1
    until_ms = now_ms + op.remaining_ms + SLOT_RELEASE_MARGIN_MS
    program_ledger.attempts[op.attempt] = new_attempt(program_ledger, op, runner, until_ms)
    heappush(program_ledger.expiries, (until_ms, "attempt", op.attempt))
    extend_chain_retention(program_ledger, op.previous, until_ms + CHAIN_RETENTION_MARGIN_MS)
    return begin_result(program_ledger, op.attempt, program_ledger.attempts[op.attempt])


def new_account(op, budget, now_ms):
    """Return the account of a program that an attempt opens."""
    return Account(budget, 0, 0, now_ms, credential="" if scope_of(op.program) else op.credential)


def new_attempt(program_ledger, op, runner, until_ms):
    """Return the record of an attempt that begins."""
    tenant = tenant_of(program_ledger, op.attempt, op.credential)
    return Attempt(
        op.program,
        op.amount,
        op.previous,
        runner,
        until_ms,
        op.prompt_tokens,
        credential="" if tenant else op.credential,
        tenant="" if scope_of(op.attempt) else tenant,
    )


def reassign(program_ledger, now_ms, op):
    """Assign another runner to an attempt; idempotent by the number of the reassignment."""
    attempt = program_ledger.attempts.get(op.attempt)
    if attempt is None:
        return NoAttempt(op.attempt)
    if op.number <= attempt.moves:
        return begin_result(program_ledger, op.attempt, attempt)
    release_runner(program_ledger, attempt)
    attempt.runner = ""
    runner = assign_runner(program_ledger, now_ms, op, attempt)
    if runner is None:
        return NoCapacity(wait_ms=20)
    attempt.runner, attempt.placed, attempt.moves = runner, True, op.number
    if attempt.until_ms <= now_ms:
        attempt.until_ms = now_ms + CHAIN_RETENTION_MARGIN_MS
        heappush(program_ledger.expiries, (attempt.until_ms, "attempt", op.attempt))
    return begin_result(program_ledger, op.attempt, attempt)


def release_runner(program_ledger, attempt):
    """Release the slot of an attempt's runner, if the attempt occupies one."""
    if attempt.placed:
        attempt.placed = False
        release_slot(program_ledger, attempt.runner)


def close_attempt(program_ledger, name, tokens):
    """Remove an open attempt, charge its output tokens and return it."""
    attempt = program_ledger.attempts.pop(name)
    release_runner(program_ledger, attempt)
    account = program_ledger.accounts.get(attempt.program)
    if account is not None:
        account.reserved -= attempt.amount
        account.spent += tokens
        account.open -= 1
        if attempt.program == name and not account.open:
            del program_ledger.accounts[name]
    return attempt


def add_tombstone(program_ledger, now_ms, name):
    """Add a tombstone, which prevents an ended attempt from beginning again."""
    program_ledger.tombs[name] = now_ms + TOMBSTONE_RETENTION_MS
    heappush(program_ledger.expiries, (now_ms + TOMBSTONE_RETENTION_MS, "tomb", name))


def refuse(program_ledger, now_ms, name, result):
    """Record and return the result of a refused attempt, so that it is refused again when resubmitted."""
    add_tombstone(program_ledger, now_ms, name)
    program_ledger.refused[name] = result
    return result


def end(program_ledger, now_ms, op):
    """End an attempt; with a retention it becomes a turn that others may follow."""
    if op.attempt not in program_ledger.attempts:
        ended = op.attempt in program_ledger.turns or op.retention_ms <= 0 and op.attempt in program_ledger.tombs
        return AttemptEnded() if ended else NoAttempt(op.attempt)
    attempt = close_attempt(program_ledger, op.attempt, op.tokens)
    if op.retention_ms <= 0:
        add_tombstone(program_ledger, now_ms, op.attempt)
        return AttemptEnded()
    if attempt.previous and attempt.previous not in program_ledger.turns:
        add_tombstone(program_ledger, now_ms, op.attempt)
        return NoAttempt(op.attempt)
    until_ms = now_ms + op.retention_ms
    program_ledger.turns[op.attempt] = Turn(
        attempt.program,
        attempt.previous,
        until_ms,
        attempt.runner,
        attempt.prompt_tokens + op.tokens,
        attempt.credential,
        attempt.tenant,
    )
    heappush(program_ledger.expiries, (until_ms, "turn", op.attempt))
    extend_chain_retention(program_ledger, attempt.previous, until_ms)
    return AttemptEnded()


def extend_chain_retention(program_ledger, name, until_ms):
    """Retain a turn and its predecessors at least until `until_ms`."""
    while name and name in program_ledger.turns:
        turn = program_ledger.turns[name]
        if turn.kept_until_ms >= until_ms:
            return
        turn.kept_until_ms = until_ms
        name = turn.previous


def abort(program_ledger, now_ms, op):
    """End an attempt that no runner executed; it cannot begin afterwards."""
    if op.attempt in program_ledger.attempts:
        close_attempt(program_ledger, op.attempt, 0)
    program_ledger.refused.pop(op.attempt, None)
    if op.attempt not in program_ledger.tombs and op.attempt not in program_ledger.turns:
        add_tombstone(program_ledger, now_ms, op.attempt)
    return AttemptEnded()


def expire_attempt(program_ledger, now_ms, name):
    """Release the runner of an attempt whose time has passed; its tokens stay reserved."""
    attempt = program_ledger.attempts.get(name)
    if attempt is not None:
        release_runner(program_ledger, attempt)


def expire_turn(program_ledger, now_ms, name):
    """Remove a turn whose retention has passed, or schedule its next expiry check."""
    turn = program_ledger.turns.get(name)
    if turn is None:
        return
    if turn.kept_until_ms > now_ms:
        heappush(program_ledger.expiries, (turn.kept_until_ms, "turn", name))
        return
    del program_ledger.turns[name]
    add_tombstone(program_ledger, now_ms, name)


def expire_account(program_ledger, now_ms, name):
    """Remove the account of a program that has not been used for ACCOUNT_RETENTION_MS."""
    account = program_ledger.accounts.get(name)
    if account is None:
        return
    if account.open or account.touched_ms + ACCOUNT_RETENTION_MS > now_ms:
        heappush(program_ledger.expiries, (max(account.touched_ms, now_ms) + ACCOUNT_RETENTION_MS, "account", name))
        return
    del program_ledger.accounts[name]
