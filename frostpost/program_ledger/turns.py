"""Attempts, turns and token budgets.

A program's tokens put out never pass its budget plus the most of one turn: an attempt is begun only while what was
spent and reserved is below the budget, and an attempt whose end nobody tells stays counted at its most.
"""

from heapq import heappush

from .messages import AttemptBegun, AttemptEnded, NoAttempt, NoCapacity, NoTurn, TokensSpent
from .placement import free_slots, place, release_slot
from .state import Account, Attempt, Turn

ACCOUNT_RETENTION_MS = 7200000
TOMBSTONE_RETENTION_MS = 60000
CHAIN_RETENTION_MARGIN_MS = 60000
SLOT_RELEASE_MARGIN_MS = 1000
# The budget of a program that names none, in tokens.
UNBOUNDED_BUDGET_TOKENS = 1 << 60


def chain_of(program_ledger, turn):
    """Names of a turn's chain, oldest first; None where a part of it is no longer kept."""
    names = []
    while turn:
        if turn not in program_ledger.turns:
            return None
        names.append(turn)
        turn = program_ledger.turns[turn].previous
    return tuple(reversed(names))


def begun_result(program_ledger, name, attempt):
    """Return the runner and chain of an open attempt, or NoAttempt if a part of the chain is gone."""
    chain = chain_of(program_ledger, attempt.previous)
    return NoAttempt(name) if chain is None else AttemptBegun(attempt.runner, chain)


def is_waiting_for_slot(program_ledger, op):
    """Whether `begin` would answer NoCapacity now, which changes nothing."""
    name, turns = op.attempt, program_ledger.turns
    if name in program_ledger.tombs or name in turns or name in program_ledger.attempts:
        return False
    if op.previous and op.previous not in turns:
        return False
    if is_budget_spent(program_ledger.accounts.get(op.program), op.budget or UNBOUNDED_BUDGET_TOKENS):
        return False
    return not free_slots(program_ledger, op.candidates)


def is_budget_spent(account, budget):
    """Whether a program's budget leaves no attempt."""
    return account is not None and account.spent + account.reserved >= budget


def begin(program_ledger, now_ms, op):
    """Reserve budget and a runner for an attempt; the same attempt again gets the same result."""
    if op.attempt in program_ledger.tombs or op.attempt in program_ledger.turns:
        return program_ledger.refused.get(op.attempt) or NoAttempt(op.attempt)
    open_ = program_ledger.attempts.get(op.attempt)
    if open_ is not None:
        return begun_result(program_ledger, op.attempt, open_)
    if op.previous and op.previous not in program_ledger.turns:
        return refuse(program_ledger, now_ms, op.attempt, NoTurn(op.previous))
    account = program_ledger.accounts.get(op.program)
    budget = op.budget or UNBOUNDED_BUDGET_TOKENS
    if is_budget_spent(account, budget):
        account.touched_ms = now_ms
        return refuse(program_ledger, now_ms, op.attempt, TokensSpent(budget, account.spent))
    runner = place(program_ledger, now_ms, op)
    if runner is None:
        return NoCapacity(wait_ms=20)
    if account is None:
        account = program_ledger.accounts[op.program] = Account(budget, 0, 0, now_ms)
        heappush(program_ledger.expiries, (now_ms + ACCOUNT_RETENTION_MS, "account", op.program))
    account.budget, account.touched_ms = budget, now_ms
    account.reserved += op.amount
    account.open += 1
    until_ms = now_ms + op.remaining_ms + SLOT_RELEASE_MARGIN_MS
    program_ledger.attempts[op.attempt] = Attempt(
        op.program, op.amount, op.previous, runner, until_ms, op.prompt_tokens
    )
    heappush(program_ledger.expiries, (until_ms, "attempt", op.attempt))
    extend_chain_retention(program_ledger, op.previous, until_ms + CHAIN_RETENTION_MARGIN_MS)
    return begun_result(program_ledger, op.attempt, program_ledger.attempts[op.attempt])


def reassign(program_ledger, now_ms, op):
    """Give an attempt another runner; the same move again gets the same result."""
    attempt = program_ledger.attempts.get(op.attempt)
    if attempt is None:
        return NoAttempt(op.attempt)
    if op.number <= attempt.moves:
        return begun_result(program_ledger, op.attempt, attempt)
    release_runner(program_ledger, attempt)
    attempt.runner = ""
    runner = place(program_ledger, now_ms, op, attempt)
    if runner is None:
        return NoCapacity(wait_ms=20)
    attempt.runner, attempt.placed, attempt.moves = runner, True, op.number
    if attempt.until_ms <= now_ms:
        attempt.until_ms = now_ms + CHAIN_RETENTION_MARGIN_MS
        heappush(program_ledger.expiries, (attempt.until_ms, "attempt", op.attempt))
    return begun_result(program_ledger, op.attempt, attempt)


def release_runner(program_ledger, attempt):
    """Take an attempt off its runner."""
    if attempt.placed:
        attempt.placed = False
        release_slot(program_ledger, attempt.runner)


def close_attempt(program_ledger, name, tokens):
    """Remove an open attempt and account the tokens that it put out."""
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
    """Remember for a while that an attempt has ended, so that it can't begin again."""
    program_ledger.tombs[name] = now_ms + TOMBSTONE_RETENTION_MS
    heappush(program_ledger.expiries, (now_ms + TOMBSTONE_RETENTION_MS, "tomb", name))


def refuse(program_ledger, now_ms, name, verdict):
    """A refused attempt stays refused, however often it is submitted."""
    add_tombstone(program_ledger, now_ms, name)
    program_ledger.refused[name] = verdict
    return verdict


def end(program_ledger, now_ms, op):
    """End an attempt; kept, it becomes a turn that others may follow."""
    if op.attempt not in program_ledger.attempts:
        ended = op.attempt in program_ledger.turns or op.keep_ms <= 0 and op.attempt in program_ledger.tombs
        return AttemptEnded() if ended else NoAttempt(op.attempt)
    attempt = close_attempt(program_ledger, op.attempt, op.tokens)
    if op.keep_ms <= 0:
        add_tombstone(program_ledger, now_ms, op.attempt)
        return AttemptEnded()
    if attempt.previous and attempt.previous not in program_ledger.turns:
        add_tombstone(program_ledger, now_ms, op.attempt)
        return NoAttempt(op.attempt)
    until_ms = now_ms + op.keep_ms
    program_ledger.turns[op.attempt] = Turn(
        attempt.program, attempt.previous, until_ms, attempt.runner, attempt.prompt_tokens + op.tokens
    )
    heappush(program_ledger.expiries, (until_ms, "turn", op.attempt))
    extend_chain_retention(program_ledger, attempt.previous, until_ms)
    return AttemptEnded()


def extend_chain_retention(program_ledger, turn, until_ms):
    """Keep a turn and those before it at least until `until_ms`."""
    while turn and turn in program_ledger.turns:
        held = program_ledger.turns[turn]
        if held.kept_until_ms >= until_ms:
            return
        held.kept_until_ms = until_ms
        turn = held.previous


def abort(program_ledger, now_ms, op):
    """End an attempt that no runner ran; it can't begin any more."""
    if op.attempt in program_ledger.attempts:
        close_attempt(program_ledger, op.attempt, 0)
    program_ledger.refused.pop(op.attempt, None)
    if op.attempt not in program_ledger.tombs and op.attempt not in program_ledger.turns:
        add_tombstone(program_ledger, now_ms, op.attempt)
    return AttemptEnded()


def expire_attempt(program_ledger, now_ms, name):
    """Free the runner of an attempt whose time is over; its tokens stay reserved."""
    attempt = program_ledger.attempts.get(name)
    if attempt is not None:
        release_runner(program_ledger, attempt)


def expire_turn(program_ledger, now_ms, name):
    """Remove a turn whose retention has passed."""
    turn = program_ledger.turns.get(name)
    if turn is None:
        return
    if turn.kept_until_ms > now_ms:
        heappush(program_ledger.expiries, (turn.kept_until_ms, "turn", name))
        return
    del program_ledger.turns[name]
    add_tombstone(program_ledger, now_ms, name)


def expire_account(program_ledger, now_ms, name):
    """Remove the account of a program that was not used for a while."""
    account = program_ledger.accounts.get(name)
    if account is None:
        return
    if account.open or account.touched_ms + ACCOUNT_RETENTION_MS > now_ms:
        heappush(program_ledger.expiries, (max(account.touched_ms, now_ms) + ACCOUNT_RETENTION_MS, "account", name))
        return
    del program_ledger.accounts[name]
