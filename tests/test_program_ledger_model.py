"""The program ledger against a reference model, with random repeats, reordering and clock advances."""

from random import Random

import pytest

from frostpost.ledger.apply import decode_state, encode
from frostpost.ledger.state import Ledger
from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger.key_messages import (
    ClaimOperationKey,
    KeyAnswered,
    KeyClaimed,
    KeyInProgress,
    ReleaseOperationKey,
    ResolveOperationKey,
)
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    Candidate,
    EndAttempt,
    NoAttempt,
    NoCapacity,
    NoTurn,
    ReassignAttempt,
    TokensSpent,
)
from frostpost.program_ledger.turns import CHAIN_RETENTION_MARGIN_MS

BUDGETS = {"p0": 150, "p1": 900, "p2": 0}
SLOTS = {"r0": 2, "r1": 3, "r2": 4}
MAX_AMOUNT = 60
REPEAT_WITHIN_MS = 50000
TOMBSTONE_MS = 60000


class Model:
    """Reference model that keeps all operations and derives each expected result from them."""

    def __init__(self):
        self.clock_ms = 0
        self.attempts, self.closed, self.ends, self.keys, self.released = {}, {}, {}, {}, {}
        self.refused, self.chain_until_ms, self.reassigned = {}, {}, set()

    def charged_tokens(self, program):
        ended = sum(tokens for a, tokens in self.closed.values() if a and a.program == program)
        return ended + sum(a.amount for a, _, _ in self.attempts.values() if a.program == program)

    def retained_until_ms(self, turn):
        op, at_ms = self.ends[turn][:2]
        followers = [self.retained_until_ms(t) for t, end in self.ends.items() if end[2] == turn]
        return max([at_ms + op.retention_ms, self.chain_until_ms.get(turn, 0), *followers])

    def is_retained(self, turn):
        return turn in self.ends and self.retained_until_ms(turn) > self.clock_ms

    def chain(self, turn):
        return (*self.chain(self.ends[turn][2]), turn) if turn else ()

    def active_attempts(self, runner):
        return sum(r == runner and until > self.clock_ms for _, r, until in self.attempts.values())

    def has_capacity(self, op, except_runner=""):
        return any(self.active_attempts(c.runner) - (c.runner == except_runner) < c.slots for c in op.candidates)

    def check_placement(self, op, result, chain):
        assert isinstance(result, AttemptBegun) and result.chain == chain
        assert self.active_attempts(result.runner) < SLOTS[result.runner]
        assert result.runner in [c.runner for c in op.candidates]

    def begin(self, op, result):
        if op.attempt in self.closed:
            return isinstance(result, NoAttempt)
        if op.attempt in self.refused:
            return result == self.refused[op.attempt]
        if op.attempt in self.attempts:
            return isinstance(result, AttemptBegun) and result.chain == self.chain(op.previous)
        if op.previous and not self.is_retained(op.previous):
            self.refused[op.attempt] = result
            return result == NoTurn(op.previous)
        if self.charged_tokens(op.program) >= (op.budget or 1 << 60):
            self.refused[op.attempt] = result
            return isinstance(result, TokensSpent)
        if not self.has_capacity(op):
            return isinstance(result, NoCapacity)
        self.check_placement(op, result, self.chain(op.previous))
        until_ms = self.clock_ms + op.remaining_ms + 1000
        self.attempts[op.attempt] = (op, result.runner, until_ms)
        if op.previous:
            self.chain_until_ms[op.previous] = max(
                self.chain_until_ms.get(op.previous, 0), until_ms + CHAIN_RETENTION_MARGIN_MS
            )
        return True

    def reassign(self, op, result):
        if op.attempt not in self.attempts:
            return isinstance(result, NoAttempt)
        begin_op, runner, until_ms = self.attempts[op.attempt]
        if op.attempt in self.reassigned:
            return result == AttemptBegun(runner, self.chain(begin_op.previous))
        self.attempts[op.attempt] = (begin_op, "", until_ms)
        if not self.has_capacity(op):
            return isinstance(result, NoCapacity)
        self.check_placement(op, result, self.chain(begin_op.previous))
        until_ms = until_ms if until_ms > self.clock_ms else self.clock_ms + CHAIN_RETENTION_MARGIN_MS
        self.attempts[op.attempt] = (begin_op, result.runner, until_ms)
        self.reassigned.add(op.attempt)
        return True

    def end(self, op, result):
        if op.attempt not in self.attempts:
            return (
                result in (AttemptEnded(), NoAttempt(op.attempt))
                if op.retention_ms or op.attempt not in self.closed
                else result == AttemptEnded()
            )
        begin_op, _, _ = self.attempts.pop(op.attempt)
        self.closed[op.attempt] = (begin_op, op.tokens)
        if not op.retention_ms:
            return result == AttemptEnded()
        if begin_op.previous and not self.is_retained(begin_op.previous):
            return isinstance(result, NoAttempt)
        self.ends[op.attempt] = (op, self.clock_ms, begin_op.previous)
        return result == AttemptEnded()

    def abort(self, op, result):
        if op.attempt in self.attempts or op.attempt not in self.closed:
            self.attempts.pop(op.attempt, None)
            self.closed[op.attempt] = (None, 0)
        return result == AttemptEnded()

    def claim_of(self, key):
        claim = self.keys.get(key)
        return claim if claim and claim[1] > self.clock_ms else None

    def claim(self, op, result):
        if self.released.get((op.attempt, op.key), -TOMBSTONE_MS) + TOMBSTONE_MS > self.clock_ms:
            return isinstance(result, NoAttempt)
        claim = self.claim_of(op.key)
        if claim is None:
            self.keys[op.key] = [op.attempt, self.clock_ms + op.window_ms, None]
            return result == KeyClaimed()
        if claim[2] is not None:
            return result == KeyAnswered(claim[2])
        return result == (KeyClaimed() if claim[0] == op.attempt else KeyInProgress())

    def resolve(self, op, result):
        claim = self.claim_of(op.key)
        if claim is None or claim[0] != op.attempt:
            return isinstance(result, NoAttempt)
        claim[2] = op.answer if claim[2] is None else claim[2]
        return result == AttemptEnded()

    def release(self, op, result):
        claim = self.claim_of(op.key)
        if claim and claim[0] == op.attempt:
            if claim[2] is not None:
                return isinstance(result, NoAttempt)
            del self.keys[op.key]
        self.released[op.attempt, op.key] = self.clock_ms
        return result == AttemptEnded()


CHECKS = {
    BeginAttempt: Model.begin,
    ReassignAttempt: Model.reassign,
    EndAttempt: Model.end,
    AbortAttempt: Model.abort,
    ClaimOperationKey: Model.claim,
    ResolveOperationKey: Model.resolve,
    ReleaseOperationKey: Model.release,
}


def random_candidates(random):
    chosen = random.sample(sorted(SLOTS), random.randint(1, 3))
    return tuple(Candidate(r, SLOTS[r]) for r in chosen)


def random_operations(random, model, name):
    """Return the operations of one attempt or key in their usual order."""
    if random.random() < 0.3:
        key = f"k{random.randint(0, 4)}"
        outcomes = [[ResolveOperationKey(key, name, name.encode())], [ReleaseOperationKey(key, name)], []]
        return [ClaimOperationKey(key, name, random.randint(5000, 40000)), *random.choice(outcomes)]
    program = random.choice(sorted(BUDGETS))
    turns = [t for t in model.ends if model.attempts.get(t) is None]
    previous = random.choice([*turns[-8:], "", "never"]) if random.random() < 0.6 else ""
    begin = BeginAttempt(
        name,
        program,
        BUDGETS[program],
        random.randint(1, MAX_AMOUNT),
        previous,
        random.randint(20000, 60000),
        random_candidates(random),
        prompt_tokens=9,
    )
    reassignment = [ReassignAttempt(name, random_candidates(random))] * (random.random() < 0.3)
    tokens = random.randint(0, begin.amount)
    endings = [
        [EndAttempt(name, tokens, random.randint(60000, 150000))],
        [EndAttempt(name, tokens)],
        [AbortAttempt(name)],
        [],
    ]
    return [begin, *reassignment, *random.choices(endings, [6, 2, 2, 1])[0]]


def check_state(program_ledger, model):
    assert {n: u.active for n, u in program_ledger.runners.items() if u.active} == {
        r: model.active_attempts(r) for r in SLOTS if model.active_attempts(r)
    }
    assert set(program_ledger.turns) == {t for t in model.ends if model.is_retained(t)}
    assert all(u.active >= 0 for u in program_ledger.runners.values())
    for program, budget in BUDGETS.items():
        assert not budget or model.charged_tokens(program) < budget + MAX_AMOUNT


@pytest.mark.parametrize("seed", range(16))
def test_random_operations_agree_with_the_model_and_with_a_restored_replica(seed):
    random, model, result_types = Random(seed), Model(), set()
    ledger, replica, pending, submitted = Ledger(), Ledger(), [], []
    for step in range(700):
        if random.random() < 0.2:
            model.clock_ms += random.choice([1, 200, 1500, 6000])
            for each in (ledger, replica):
                program_ledgers.expire(each.program_ledger, model.clock_ms)
        else:
            pending += [] if len(pending) > 12 else random_operations(random, model, f"a{step}")
            position = min(len(pending) - 1, int(random.expovariate(0.5)))
            op = pending.pop(position) if pending else None
            recent = [earlier for earlier, at_ms in submitted if model.clock_ms - at_ms < REPEAT_WITHIN_MS]
            if op is None or recent and random.random() < 0.25:
                pending += [op] if op else []
                op = random.choice(recent[-30:] or [AbortAttempt(f"x{step}")])
            submitted.append((op, next((first_ms for earlier, first_ms in submitted if earlier == op), model.clock_ms)))
            result = program_ledgers.apply_operation(ledger.program_ledger, model.clock_ms, (), (), op)
            result_types.add(type(result))
            assert CHECKS[type(op)](model, op, result), (step, op, result)
            assert program_ledgers.apply_operation(replica.program_ledger, model.clock_ms, (), (), op) == result
        check_state(ledger.program_ledger, model)
        replica = decode_state(encode(replica))
        assert replica == ledger and encode(replica) == encode(ledger)
    assert result_types == {
        AttemptBegun,
        AttemptEnded,
        NoAttempt,
        NoCapacity,
        NoTurn,
        TokensSpent,
        KeyClaimed,
        KeyInProgress,
        KeyAnswered,
    }
    for name in list(model.attempts):
        assert (
            program_ledgers.apply_operation(ledger.program_ledger, model.clock_ms, (), (), AbortAttempt(name))
            == AttemptEnded()
        )
    assert not any(u.active for u in ledger.program_ledger.runners.values()) and not ledger.program_ledger.attempts
