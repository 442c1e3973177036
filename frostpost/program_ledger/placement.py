"""Which runner takes an attempt, decided at delivery and so the same on every member.

Costs are in prompt tokens: what the runner would have to read anew, and what its running attempts cost in slower
steps. A runner with all slots taken takes nothing, so that what waits, waits where urgency is known.
"""

from .state import RunnerUse

ACTIVE_ATTEMPT_COST_TOKENS = 1500
DEFAULT_CACHE_TOKENS = 200000
IDLE_RUNNER_RETENTION_MS = 60000


def place(program_ledger, now_ms, op, attempt=None):
    """Name of the runner that costs least, its use counted; None where no candidate has a free slot."""
    previous = attempt.previous if attempt else op.previous
    turn = program_ledger.turns.get(previous) if previous else None
    parts = () if attempt else op.parts
    best, best_cost = None, 0
    for candidate in op.candidates:
        use = program_ledger.runners.get(candidate.runner)
        active = use.active if use else 0
        if active >= candidate.slots:
            continue
        held = cached_prefix_tokens(use, parts)
        if turn is not None and turn.runner == candidate.runner:
            held = max(held, turn.tokens)
        cost = candidate.penalty + active * ACTIVE_ATTEMPT_COST_TOKENS * 16 // max(1, candidate.slots) - held
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
    """Return how many attempts more the candidates could take together."""
    free = 0
    for candidate in candidates:
        use = program_ledger.runners.get(candidate.runner)
        free += max(0, candidate.slots - (use.active if use else 0))
    return free


def cached_prefix_tokens(use, parts):
    """Return how many tokens of the leading prompt parts a runner has read."""
    if use is None:
        return 0
    tokens = 0
    for part, size in parts:
        if part not in use.parts:
            break
        tokens += size
    return tokens


def record_cached_parts(use, parts, most_tokens):
    """Count prompt parts as read by a runner; the least recently used drop out above `most_tokens`."""
    for part, size in parts:
        before = use.parts.pop(part, 0)
        use.parts[part] = size
        use.tokens += size - before
    while use.tokens > most_tokens and len(use.parts) > 1:
        oldest = next(iter(use.parts))
        use.tokens -= use.parts.pop(oldest)


def release_slot(program_ledger, runner):
    """Count one running attempt less at a runner."""
    use = program_ledger.runners.get(runner)
    if use is not None and use.active:
        use.active -= 1


def expire_idle_runners(program_ledger, now_ms):
    """Forget runners without attempts that were not used for a while."""
    for name in [
        n for n, u in program_ledger.runners.items() if not u.active and now_ms - u.used_ms > IDLE_RUNNER_RETENTION_MS
    ]:
        del program_ledger.runners[name]
