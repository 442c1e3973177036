"""How many attempts the ledger may count at a runner so that its slots are in use.

The ledger counts an attempt at its runner from the decision of its begin to the decision of its end. Its runner works
on it for only a part of that time: the rest is spent on the way to the agent and on ordering the end. Slots that are
counted but idle would be refused to others, so the ledger is offered more of them, by what this daemon measures.
"""

from msgspec import Struct

# Weight of a new measurement in the moving averages.
SMOOTHING = 0.1
# Rounds of the order that an attempt is counted for while its runner doesn't work: its end, and half of its begin.
IDLE_ROUNDS = 1.5
# At most as many slots more as there are: the rest would only wait in the runner's own queue.
MOST_EXTRA_RATIO = 1.0


class SlotOverhead(Struct):
    """Moving averages of one service. order_ms: from an attempt's end to its decision; run_ms: of work at a runner."""

    order_ms: float = 0.0
    run_ms: float = 0.0


def overhead_of(agent, service_name):
    """The measurements of a service; made at first use."""
    overhead = agent.slot_overheads.get(service_name)
    if overhead is None:
        overhead = agent.slot_overheads[service_name] = SlotOverhead()
    return overhead


def smoothed(average, value):
    """A moving average after one more value; the first value stands for itself."""
    return value if average <= 0 else average + SMOOTHING * (value - average)


def observe_run(overhead, run_ms):
    """A runner has worked that long on an attempt, in milliseconds."""
    overhead.run_ms = smoothed(overhead.run_ms, max(1, run_ms))


def observe_order(overhead, order_ms):
    """The end of an attempt took that long to be decided, in milliseconds."""
    overhead.order_ms = smoothed(overhead.order_ms, max(1, order_ms))


def countable_slots(overhead, slots):
    """How many attempts the ledger may count at a runner with `slots` slots."""
    if overhead.run_ms <= 0:
        return slots
    extra_ratio = min(MOST_EXTRA_RATIO, IDLE_ROUNDS * overhead.order_ms / overhead.run_ms)
    return slots + int(slots * extra_ratio)
