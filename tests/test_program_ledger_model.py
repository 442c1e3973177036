"""The turn ledger against a plain model: operations handed in twice, reordered, between ticks of the ledger's clock."""

from random import Random

import pytest

from frostpost.ledger.apply import decode_state, encode
from frostpost.ledger.state import Ledger
from frostpost.program_ledger import apply as program_ledgers
from frostpost.program_ledger.messages import (
    AbortAttempt,
    AttemptBegun,
    AttemptEnded,
    BeginAttempt,
    Candidate,
    ClaimOperationKey,
    EndAttempt,
    KeyAnswered,
    KeyClaimed,
    KeyInProgress,
    NoAttempt,
    NoCapacity,
    NoTurn,
    ReassignAttempt,
    ReleaseOperationKey,
    ResolveOperationKey,
    TokensSpent,
)
from frostpost.program_ledger.turns import CHAIN_RETENTION_MARGIN_MS

BUDGETS = {"p0": 150, "p1": 900, "p2": 0}
SLOTS = {"r0": 2, "r1": 3, "r2": 4}
MOST = 60
REPEAT_MS = 50000
TOMB_MS = 60000


class Model:
    """All that happened, in plain lists; every question is answered by going through them."""

    def __init__(self):
        self.clock = 0
        self.attempts, self.closed, self.ends, self.keys, self.disclaimed = {}, {}, {}, {}, {}
        self.refused, self.holds, self.moved = {}, {}, set()

    def put_out(self, program):
        ended = sum(tokens for a, tokens in self.closed.values() if a and a.program == program)
        return ended + sum(a.amount for a, _, _ in self.attempts.values() if a.program == program)

    def kept_until(self, turn):
        op, at_ms = self.ends[turn][:2]
        after = [self.kept_until(t) for t, end in self.ends.items() if end[2] == turn]
        return max([at_ms + op.retention_ms, self.holds.get(turn, 0), *after])

    def found(self, turn):
        return turn in self.ends and self.kept_until(turn) > self.clock

    def chain(self, turn):
        return (*self.chain(self.ends[turn][2]), turn) if turn else ()

    def active(self, runner):
        return sum(r == runner and until > self.clock for _, r, until in self.attempts.values())

    def room(self, op, but=""):
        return any(self.active(c.runner) - (c.runner == but) < c.slots for c in op.candidates)

    def placed(self, op, verdict, chain):
        assert isinstance(verdict, AttemptBegun) and verdict.chain == chain
        assert self.active(verdict.runner) < SLOTS[verdict.runner]
        assert verdict.runner in [c.runner for c in op.candidates]

    def begin(self, op, verdict):
        if op.attempt in self.closed:
            return isinstance(verdict, NoAttempt)
        if op.attempt in self.refused:
            return verdict == self.refused[op.attempt]
        if op.attempt in self.attempts:
            return isinstance(verdict, AttemptBegun) and verdict.chain == self.chain(op.previous)
        if op.previous and not self.found(op.previous):
            self.refused[op.attempt] = verdict
            return verdict == NoTurn(op.previous)
        if self.put_out(op.program) >= (op.budget or 1 << 60):
            self.refused[op.attempt] = verdict
            return isinstance(verdict, TokensSpent)
        if not self.room(op):
            return isinstance(verdict, NoCapacity)
        self.placed(op, verdict, self.chain(op.previous))
        until_ms = self.clock + op.remaining_ms + 1000
        self.attempts[op.attempt] = (op, verdict.runner, until_ms)
        if op.previous:
            self.holds[op.previous] = max(self.holds.get(op.previous, 0), until_ms + CHAIN_RETENTION_MARGIN_MS)
        return True

    def move(self, op, verdict):
        if op.attempt not in self.attempts:
            return isinstance(verdict, NoAttempt)
        begun, runner, until_ms = self.attempts[op.attempt]
        if op.attempt in self.moved:
            return verdict == AttemptBegun(runner, self.chain(begun.previous))
        self.attempts[op.attempt] = (begun, "", until_ms)
        if not self.room(op):
            return isinstance(verdict, NoCapacity)
        self.placed(op, verdict, self.chain(begun.previous))
        until_ms = until_ms if until_ms > self.clock else self.clock + CHAIN_RETENTION_MARGIN_MS
        self.attempts[op.attempt] = (begun, verdict.runner, until_ms)
        self.moved.add(op.attempt)
        return True

    def end(self, op, verdict):
        if op.attempt not in self.attempts:
            return (
                verdict in (AttemptEnded(), NoAttempt(op.attempt))
                if op.retention_ms or op.attempt not in self.closed
                else verdict == AttemptEnded()
            )
        begun, _, _ = self.attempts.pop(op.attempt)
        self.closed[op.attempt] = (begun, op.tokens)
        if not op.retention_ms:
            return verdict == AttemptEnded()
        if begun.previous and not self.found(begun.previous):
            return isinstance(verdict, NoAttempt)
        self.ends[op.attempt] = (op, self.clock, begun.previous)
        return verdict == AttemptEnded()

    def abort(self, op, verdict):
        if op.attempt in self.attempts or op.attempt not in self.closed:
            self.attempts.pop(op.attempt, None)
            self.closed[op.attempt] = (None, 0)
        return verdict == AttemptEnded()

    def holder(self, key):
        held = self.keys.get(key)
        return held if held and held[1] > self.clock else None

    def claim(self, op, verdict):
        if self.disclaimed.get((op.attempt, op.key), -TOMB_MS) + TOMB_MS > self.clock:
            return isinstance(verdict, NoAttempt)
        held = self.holder(op.key)
        if held is None:
            self.keys[op.key] = [op.attempt, self.clock + op.window_ms, None]
            return verdict == KeyClaimed()
        if held[2] is not None:
            return verdict == KeyAnswered(held[2])
        return verdict == (KeyClaimed() if held[0] == op.attempt else KeyInProgress())

    def resolve(self, op, verdict):
        held = self.holder(op.key)
        if held is None or held[0] != op.attempt:
            return isinstance(verdict, NoAttempt)
        held[2] = op.answer if held[2] is None else held[2]
        return verdict == AttemptEnded()

    def disclaim(self, op, verdict):
        held = self.holder(op.key)
        if held and held[0] == op.attempt:
            if held[2] is not None:
                return isinstance(verdict, NoAttempt)
            del self.keys[op.key]
        self.disclaimed[op.attempt, op.key] = self.clock
        return verdict == AttemptEnded()


CHECKS = {
    BeginAttempt: Model.begin,
    ReassignAttempt: Model.move,
    EndAttempt: Model.end,
    AbortAttempt: Model.abort,
    ClaimOperationKey: Model.claim,
    ResolveOperationKey: Model.resolve,
    ReleaseOperationKey: Model.disclaim,
}


def candidates(random):
    chosen = random.sample(sorted(SLOTS), random.randint(1, 3))
    return tuple(Candidate(r, SLOTS[r]) for r in chosen)


def script(random, model, name):
    """The operations of one attempt, mostly in their order."""
    if random.random() < 0.3:
        key = f"k{random.randint(0, 4)}"
        rest = [[ResolveOperationKey(key, name, name.encode())], [ReleaseOperationKey(key, name)], []]
        return [ClaimOperationKey(key, name, random.randint(5000, 40000)), *random.choice(rest)]
    program = random.choice(sorted(BUDGETS))
    turns = [t for t in model.ends if model.attempts.get(t) is None]
    previous = random.choice([*turns[-8:], "", "never"]) if random.random() < 0.6 else ""
    begin = BeginAttempt(
        name,
        program,
        BUDGETS[program],
        random.randint(1, MOST),
        previous,
        random.randint(20000, 60000),
        candidates(random),
        prompt_tokens=9,
    )
    move = [ReassignAttempt(name, candidates(random))] * (random.random() < 0.3)
    tokens = random.randint(0, begin.amount)
    last = [
        [EndAttempt(name, tokens, random.randint(60000, 150000))],
        [EndAttempt(name, tokens)],
        [AbortAttempt(name)],
        [],
    ]
    return [begin, *move, *random.choices(last, [6, 2, 2, 1])[0]]


def check_whole(program_ledger, model):
    assert {n: u.active for n, u in program_ledger.runners.items() if u.active} == {
        r: model.active(r) for r in SLOTS if model.active(r)
    }
    assert set(program_ledger.turns) == {t for t in model.ends if model.found(t)}
    assert all(u.active >= 0 for u in program_ledger.runners.values())
    for program, budget in BUDGETS.items():
        assert not budget or model.put_out(program) < budget + MOST


@pytest.mark.parametrize("seed", range(16))
def test_random_interleavings_agree_with_the_model_and_with_a_decoded_copy(seed):
    random, model, kinds = Random(seed), Model(), set()
    ledger, twin, pending, said = Ledger(), Ledger(), [], []
    for step in range(700):
        if random.random() < 0.2:
            model.clock += random.choice([1, 200, 1500, 6000])
            for held in (ledger, twin):
                program_ledgers.expire(held.program_ledger, model.clock)
        else:
            pending += [] if len(pending) > 12 else script(random, model, f"a{step}")
            at = min(len(pending) - 1, int(random.expovariate(0.5)))
            op = pending.pop(at) if pending else None
            recent = [o for o, at_ms in said if model.clock - at_ms < REPEAT_MS]
            if op is None or recent and random.random() < 0.25:
                pending += [op] if op else []
                op = random.choice(recent[-30:] or [AbortAttempt(f"x{step}")])
            said.append((op, next((t for o, t in said if o == op), model.clock)))
            verdict = program_ledgers.apply_operation(ledger.program_ledger, model.clock, (), (), op)
            kinds.add(type(verdict))
            assert CHECKS[type(op)](model, op, verdict), (step, op, verdict)
            assert program_ledgers.apply_operation(twin.program_ledger, model.clock, (), (), op) == verdict
        check_whole(ledger.program_ledger, model)
        twin = decode_state(encode(twin))
        assert twin == ledger and encode(twin) == encode(ledger)
    assert kinds == {
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
            program_ledgers.apply_operation(ledger.program_ledger, model.clock, (), (), AbortAttempt(name))
            == AttemptEnded()
        )
    assert not any(u.active for u in ledger.program_ledger.runners.values()) and not ledger.program_ledger.attempts
