"""Linearizability of the configuration as a compare-and-set register, judged from the operators' recorded calls.

The register holds one change. A change is taken only on top of the version that it names as its base, and versions
rise, so what was taken forms one chain. The calls are linearizable if a chain exists that holds every acknowledged
change and every change that was read and none that was refused, and if each change of it can be given a moment between
its first sending and its first acknowledgement so that every read and refusal fits one moment of its own call. A call
without a clear answer stays open to the end: its change may be taken at any later moment, or never.
"""

from collections import defaultdict

from msgspec import Struct

from .notes import NEVER_MS, Broken, Version

RULE = "LINEARIZABLE"
UNCLEAR = (0, 408, 429)
MOST_STEPS = 20000
EMPTY = Version(0, -1, {}, {"issue": 0, "route-table": []}, -NEVER_MS)


class Order(Struct):
    """A change with the calls that carried it. sent_ms: first sending; acked_ms: first acknowledgement."""

    version: Version
    sent_ms: float
    acked_ms: float
    refusals: list


class Read(Struct):
    """A whole configuration as read, and the orders that may have led to it."""

    call: object
    orders: list


def clear(call):
    """Whether a call got an answer that settles something."""
    return call.status not in UNCLEAR and call.status < 500


def order_of(version, calls):
    """A change and its calls as an `Order`."""
    acked = [call.ended_ms for call in calls if call.status == 200]
    refusals = [call for call in calls if clear(call) and call.status != 200]
    sent_ms = min((call.sent_ms for call in calls), default=version.sent_ms)
    return Order(version, sent_ms, min(acked, default=NEVER_MS), refusals)


def routes_by_name(document):
    """The routes of a document, in any order."""
    return {route["name"]: route for route in document.get("route-table", ())}


def same_document(document, version):
    """Whether a document that was read is the one that a change led to."""
    return document["issue"] == version.issue and routes_by_name(document) == routes_by_name(version.document)


def contradictions(orders):
    """Changes both acknowledged and refused, invalid ones acknowledged, and valid ones called invalid."""
    for order in orders:
        issue, statuses = order.version.issue, [call.status for call in order.refusals]
        if order.acked_ms < NEVER_MS and order.refusals:
            yield Broken(
                RULE, f"change {issue} was acknowledged at {round(order.acked_ms)} and refused with {statuses}"
            )
        if order.acked_ms < NEVER_MS and not order.version.valid:
            yield Broken(RULE, f"change {issue} is invalid and was acknowledged")
        if order.version.valid and any(status != 412 for status in statuses):
            yield Broken(RULE, f"change {issue} is valid and was refused with {statuses}")


def candidates_by_base(orders, reads):
    """Changes that a chain may hold, by their base: not refused, and not at odds with what was acknowledged or read."""
    acked, read = defaultdict(list), defaultdict(list)
    for order in orders:
        if order.acked_ms < NEVER_MS:
            acked[order.version.issue].append(order)
    for found in reads:
        read[found.call.document["issue"]].append(found.orders)
    on_base = defaultdict(list)
    for order in orders:
        version = order.version
        if not version.valid or order.refusals or version.issue <= version.base:
            continue
        if all(other is order for other in acked[version.issue]) and all(
            order in known for known in read[version.issue]
        ):
            on_base[version.base].append(order)
    return on_base


def chains(root, orders, reads):
    """Lists of orders, each on top of the one before it, that hold all versions that were acknowledged or read."""
    on_base = candidates_by_base(orders, reads)
    needed = sorted(
        {order.version.issue for order in orders if order.acked_ms < NEVER_MS}
        | {read.call.document["issue"] for read in reads}
    )
    stack, steps = [[root]], 0
    while stack and steps < MOST_STEPS:
        chain, steps = stack.pop(), steps + 1
        last = chain[-1].version.issue
        due = next((issue for issue in needed if issue > last), None)
        if due is None:
            yield chain
        after = [order for order in on_base[last] if due is None or order.version.issue <= due]
        stack.extend([*chain, order] for order in sorted(after, key=lambda order: order.acked_ms < NEVER_MS))


def bounds(chain, reads):
    """Per change of a chain, the earliest and the latest moment at which it can have been taken."""
    calls_of = defaultdict(list)
    held = {id(order) for order in chain}
    for read in reads:
        calls_of[next(id(order) for order in read.orders if id(order) in held)].append(read.call)
    lows, highs, low_ms, high_ms = [], [], -NEVER_MS, NEVER_MS
    for order in chain:
        low_ms = max(low_ms, order.sent_ms)
        lows.append(low_ms)
        low_ms = max([low_ms, *(call.sent_ms for call in calls_of[id(order)])])
    for order in reversed(chain):
        high_ms = min([high_ms, order.acked_ms, *(call.ended_ms for call in calls_of[id(order)])])
        highs.append(high_ms)
    return lows, highs[::-1]


def misfits(chain, orders, reads):
    """Why the moments of a chain's changes don't fit the calls."""
    lows, highs = bounds(chain, reads)
    for order, low_ms, high_ms in zip(chain, lows, highs, strict=True):
        if low_ms > high_ms:
            yield Broken(
                RULE,
                f"version {order.version.issue} was in force by {round(high_ms)}, though an older one was "
                f"read, or this one first sent, at {round(low_ms)}",
            )
    periods = {order.version.issue: (highs[at], (*lows, NEVER_MS)[at + 1]) for at, order in enumerate(chain)}
    for order in orders:
        for call in order.refusals if order.version.valid else ():
            from_ms, until_ms = periods.get(order.version.base, (NEVER_MS, NEVER_MS))
            if from_ms <= call.sent_ms and call.ended_ms < until_ms:
                yield Broken(
                    RULE,
                    f"change {order.version.issue} was refused by {call.daemon} at {round(call.ended_ms)} "
                    f"while its base {order.version.base} was the current version",
                )


def reads_of(root, orders, calls):
    """The reads among the calls, and what nobody sent, as (list of Read, list of Broken)."""
    reads, found = [], []
    for call in calls:
        if call.document is None:
            continue
        known = [order for order in (root, *orders) if same_document(call.document, order.version)]
        if known:
            reads.append(Read(call, known))
        else:
            found.append(Broken(RULE, f"{call.daemon} told a version {call.document['issue']} that nobody sent"))
    return reads, found


def linearizable(versions, calls):
    """Yield `Broken` where the recorded calls of all operators don't fit one register."""
    calls_of = defaultdict(list)
    for call in calls:
        calls_of[id(call.version)].append(call)
    orders = [order_of(version, calls_of[id(version)]) for version in versions]
    root = Order(EMPTY, -NEVER_MS, -NEVER_MS, [])
    reads, unsent = reads_of(root, orders, calls)
    broken = [*contradictions(orders), *unsent]
    yield from broken or unexplained(root, orders, reads)


def unexplained(root, orders, reads):
    """Nothing if one chain fits, else why the first one doesn't."""
    first = None
    for chain in chains(root, orders, reads):
        why = list(misfits(chain, orders, reads))
        if not why:
            return
        first = first or why
    yield from first or [Broken(RULE, f"no chain of changes explains the answers: {forks(orders)}")]


def forks(orders):
    """Bases on which more than one change was acknowledged, or that no change that wasn't refused led to."""
    acked, issues = defaultdict(list), {0, *(order.version.issue for order in orders if not order.refusals)}
    for order in orders:
        if order.acked_ms < NEVER_MS:
            acked[order.version.base].append(order.version.issue)
    return [(base, held) for base, held in sorted(acked.items()) if len(held) > 1 or base not in issues]
