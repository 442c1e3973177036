"""Attempts, turns and token budgets.

A program's tokens put out never pass its budget plus the most of one turn: an attempt is begun only while what was
spent and reserved is below the budget, and an attempt whose end nobody tells stays counted at its most.
"""

from heapq import heappush

from .placement import leave, place
from .state import Account, Attempt, Turn
from .words import Begun, Ended, NoAttempt, NoPlace, NoTurn, TokensSpent

ACCOUNT_MS = 7200000
TOMB_MS = 60000
CHAIN_SLACK_MS = 60000
PLACED_SLACK_MS = 1000


def chain_of(coppice, turn):
    """Names of a turn's chain, oldest first; None where a part of it is no longer kept."""
    names = []
    while turn:
        if turn not in coppice.turns:
            return None
        names.append(turn)
        turn = coppice.turns[turn].previous
    return tuple(reversed(names))


def begun(coppice, name, attempt):
    chain = chain_of(coppice, attempt.previous)
    return NoAttempt(name) if chain is None else Begun(attempt.runner, chain)


def begin(coppice, now_ms, op):
    if op.attempt in coppice.tombs or op.attempt in coppice.turns:
        return coppice.refused.get(op.attempt) or NoAttempt(op.attempt)
    open_ = coppice.attempts.get(op.attempt)
    if open_ is not None:
        return begun(coppice, op.attempt, open_)
    if op.previous and op.previous not in coppice.turns:
        return refuse_attempt(coppice, now_ms, op.attempt, NoTurn(op.previous))
    account = coppice.accounts.get(op.program)
    budget = op.budget or (1 << 60)
    if account is not None and account.spent + account.reserved >= budget:
        account.touched_ms = now_ms
        return refuse_attempt(coppice, now_ms, op.attempt, TokensSpent(budget, account.spent))
    runner = place(coppice, now_ms, op)
    if runner is None:
        return NoPlace(wait_ms=20)
    if account is None:
        account = coppice.accounts[op.program] = Account(budget, 0, 0, now_ms)
        heappush(coppice.expiries, (now_ms + ACCOUNT_MS, "account", op.program))
    account.budget, account.touched_ms = budget, now_ms
    account.reserved += op.amount
    account.open += 1
    until_ms = now_ms + op.left_ms + PLACED_SLACK_MS
    coppice.attempts[op.attempt] = Attempt(op.program, op.amount, op.previous, runner, until_ms, op.prompt_tokens)
    heappush(coppice.expiries, (until_ms, "attempt", op.attempt))
    keep_chain(coppice, op.previous, until_ms + CHAIN_SLACK_MS)
    return begun(coppice, op.attempt, coppice.attempts[op.attempt])


def move(coppice, now_ms, op):
    attempt = coppice.attempts.get(op.attempt)
    if attempt is None:
        return NoAttempt(op.attempt)
    if op.number <= attempt.moves:
        return begun(coppice, op.attempt, attempt)
    unplace(coppice, attempt)
    attempt.runner = ""
    runner = place(coppice, now_ms, op, attempt)
    if runner is None:
        return NoPlace(wait_ms=20)
    attempt.runner, attempt.placed, attempt.moves = runner, True, op.number
    if attempt.until_ms <= now_ms:
        attempt.until_ms = now_ms + CHAIN_SLACK_MS
        heappush(coppice.expiries, (attempt.until_ms, "attempt", op.attempt))
    return begun(coppice, op.attempt, attempt)


def unplace(coppice, attempt):
    if attempt.placed:
        attempt.placed = False
        leave(coppice, attempt.runner)


def close(coppice, name, tokens):
    attempt = coppice.attempts.pop(name)
    unplace(coppice, attempt)
    account = coppice.accounts.get(attempt.program)
    if account is not None:
        account.reserved -= attempt.amount
        account.spent += tokens
        account.open -= 1
        if attempt.program == name and not account.open:
            del coppice.accounts[name]
    return attempt


def entomb(coppice, now_ms, name):
    coppice.tombs[name] = now_ms + TOMB_MS
    heappush(coppice.expiries, (now_ms + TOMB_MS, "tomb", name))


def refuse_attempt(coppice, now_ms, name, verdict):
    """A refused attempt stays refused, however often it is handed in."""
    entomb(coppice, now_ms, name)
    coppice.refused[name] = verdict
    return verdict


def end(coppice, now_ms, op):
    if op.attempt not in coppice.attempts:
        ended = op.attempt in coppice.turns or op.keep_ms <= 0 and op.attempt in coppice.tombs
        return Ended() if ended else NoAttempt(op.attempt)
    attempt = close(coppice, op.attempt, op.tokens)
    if op.keep_ms <= 0:
        entomb(coppice, now_ms, op.attempt)
        return Ended()
    if attempt.previous and attempt.previous not in coppice.turns:
        entomb(coppice, now_ms, op.attempt)
        return NoAttempt(op.attempt)
    until_ms = now_ms + op.keep_ms
    coppice.turns[op.attempt] = Turn(
        attempt.program, attempt.previous, until_ms, attempt.runner, attempt.prompt_tokens + op.tokens
    )
    heappush(coppice.expiries, (until_ms, "turn", op.attempt))
    keep_chain(coppice, attempt.previous, until_ms)
    return Ended()


def keep_chain(coppice, turn, until_ms):
    while turn and turn in coppice.turns:
        held = coppice.turns[turn]
        if held.kept_until_ms >= until_ms:
            return
        held.kept_until_ms = until_ms
        turn = held.previous


def abort(coppice, now_ms, op):
    if op.attempt in coppice.attempts:
        close(coppice, op.attempt, 0)
    coppice.refused.pop(op.attempt, None)
    if op.attempt not in coppice.tombs and op.attempt not in coppice.turns:
        entomb(coppice, now_ms, op.attempt)
    return Ended()


def expire_attempt(coppice, now_ms, name):
    attempt = coppice.attempts.get(name)
    if attempt is not None:
        unplace(coppice, attempt)


def expire_turn(coppice, now_ms, name):
    turn = coppice.turns.get(name)
    if turn is None:
        return
    if turn.kept_until_ms > now_ms:
        heappush(coppice.expiries, (turn.kept_until_ms, "turn", name))
        return
    del coppice.turns[name]
    entomb(coppice, now_ms, name)


def expire_account(coppice, now_ms, name):
    account = coppice.accounts.get(name)
    if account is None:
        return
    if account.open or account.touched_ms + ACCOUNT_MS > now_ms:
        heappush(coppice.expiries, (max(account.touched_ms, now_ms) + ACCOUNT_MS, "account", name))
        return
    del coppice.accounts[name]
