"""Estimation of how many attempts the ledger may assign to a runner to keep its slots busy.

The ledger counts an attempt at its runner from the decision of its begin to the decision of its end, but the runner
executes it only for part of that time; the rest is message latency. Slots that are counted but idle would be refused to
other attempts, so the ledger is offered extra slots in proportion to the measured latency.
"""

from msgspec import Struct

# Weight of a new sample in the moving averages.
SMOOTHING = 0.1
# Ledger rounds during which an attempt is counted but not executing: its end, and half of its begin.
IDLE_ROUNDS = 1.5
# At most as many extra slots as the runner has: further attempts would only wait in the runner's own queue.
MAX_EXTRA_RATIO = 1.0


class SlotOverhead(Struct):
    """Moving averages for a service. decision_ms: from the end of an attempt to its decision. run_ms: execution."""

    decision_ms: float = 0.0
    run_ms: float = 0.0


def overhead_of(agent, service_name):
    """Return the averages of a service; created on first use."""
    overhead = agent.slot_overheads.get(service_name)
    if overhead is None:
        overhead = agent.slot_overheads[service_name] = SlotOverhead()
    return overhead


def update_average(average, value):
    """Return an exponential moving average updated with one sample; the first sample becomes the average."""
    return value if average <= 0 else average + SMOOTHING * (value - average)


def observe_run(overhead, run_ms):
    """Record the execution time of an attempt, in milliseconds."""
    overhead.run_ms = update_average(overhead.run_ms, max(1, run_ms))


def observe_decision(overhead, decision_ms):
    """Record how long the end of an attempt took to be decided, in milliseconds."""
    overhead.decision_ms = update_average(overhead.decision_ms, max(1, decision_ms))


def countable_slots(overhead, slots):
    """Return how many attempts the ledger may assign to a runner with `slots` slots."""
    if overhead.run_ms <= 0:
        return slots
    extra_ratio = min(MAX_EXTRA_RATIO, IDLE_ROUNDS * overhead.decision_ms / overhead.run_ms)
    return slots + int(slots * extra_ratio)
