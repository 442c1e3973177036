"""Placement of attempts on runners, computed when the operation is applied and so the same on all members.

Costs are in prompt tokens: running attempts, which slow each other down, add to the cost of a runner, and cached prompt
tokens reduce it. A runner without a free slot gets no attempt, so that attempts queue at the leader, by priority, and
not at a runner.
"""

from .state import RunnerUse

ACTIVE_ATTEMPT_COST_TOKENS = 1500
DEFAULT_CACHE_TOKENS = 200000
IDLE_RUNNER_RETENTION_MS = 60000


def assign_runner(program_ledger, now_ms, op, attempt=None):
    """Take a slot of the candidate with the lowest cost and return its name, None if none has a free slot.

    `attempt` is the open attempt if it is being reassigned; its prompt parts are then not considered.
    """
    previous = attempt.previous if attempt else op.previous
    turn = program_ledger.turns.get(previous) if previous else None
    parts = () if attempt else op.parts
    best, best_cost = None, 0
    for candidate in op.candidates:
        use = program_ledger.runners.get(candidate.runner)
        active = use.active if use else 0
        if active >= candidate.slots:
            continue
        cached = cached_prefix_tokens(use, parts)
        if turn is not None and turn.runner == candidate.runner:
            cached = max(cached, turn.tokens)
        cost = candidate.penalty + active * ACTIVE_ATTEMPT_COST_TOKENS * 16 // max(1, candidate.slots) - cached
        if best is None or cost < best_cost:
            best, best_cost = candidate.runner, cost
    if best is None:
        return None
    use = program_ledger.runners.setdefault(best, RunnerUse())
    use.active += 1
    use.used_ms = now_ms
    if not attempt:
        record_cached_parts(use, parts, op.cache_tokens or DEFAULT_CACHE_TOKENS)
    return best


def free_slots(program_ledger, candidates):
    """Return the total number of free slots of the candidates."""
    free = 0
    for candidate in candidates:
        use = program_ledger.runners.get(candidate.runner)
        free += max(0, candidate.slots - (use.active if use else 0))
    return free


def cached_prefix_tokens(use, parts):
    """Return the number of tokens in the leading prompt parts that a runner has cached."""
    if use is None:
        return 0
    tokens = 0
    for part, size in parts:
        if part not in use.parts:
            break
        tokens += size
    return tokens


def record_cached_parts(use, parts, max_tokens):
    """Record prompt parts as cached by a runner and evict the least recently used ones above `max_tokens`."""
    for part, size in parts:
        previous_size = use.parts.pop(part, 0)
        use.parts[part] = size
        use.tokens += size - previous_size
    while use.tokens > max_tokens and len(use.parts) > 1:
        oldest = next(iter(use.parts))
        use.tokens -= use.parts.pop(oldest)


def release_slot(program_ledger, runner):
    """Release one slot of a runner."""
    use = program_ledger.runners.get(runner)
    if use is not None and use.active:
        use.active -= 1


def expire_idle_runners(program_ledger, now_ms):
    """Remove runners without attempts that have not been used for IDLE_RUNNER_RETENTION_MS."""
    for name in [
        n for n, u in program_ledger.runners.items() if not u.active and now_ms - u.used_ms > IDLE_RUNNER_RETENTION_MS
    ]:
        del program_ledger.runners[name]
