"""Check that the recorded configuration calls are linearizable as operations on one compare-and-set register.

An accepted change names the current version as its base and has a higher version, so accepted changes form one chain.
A history is linearizable if a chain exists that contains every change acknowledged or read and none refused, and each
change of it can take effect between its first request and its first acknowledgement such that every read and refusal is
consistent with some moment of its own call. A change whose calls are inconclusive may take effect at any later moment,
or never.
"""

from collections import defaultdict

from msgspec import Struct

from .notes import NEVER_MS, Version, Violation

RULE = "LINEARIZABLE"
INCONCLUSIVE_STATUSES = (0, 408, 429)
MAX_SEARCH_STEPS = 20000
INITIAL_VERSION = Version(0, -1, {}, {"issue": 0, "route-table": []}, -NEVER_MS)


class RecordedChange(Struct):
    """A change and its refused calls. sent_ms: first request; acked_ms: first acknowledgement."""

    version: Version
    sent_ms: float
    acked_ms: float
    refusals: list


class RecordedRead(Struct):
    """A call that returned a configuration, and the changes that can have produced it."""

    call: object
    changes: list


def is_conclusive(call):
    """Whether the response of a call determines if its change was accepted."""
    return call.status not in INCONCLUSIVE_STATUSES and call.status < 500


def recorded_change(version, calls):
    """Returns the `RecordedChange` of a version and the calls that carried it."""
    acked = [call.ended_ms for call in calls if call.status == 200]
    refusals = [call for call in calls if is_conclusive(call) and call.status != 200]
    sent_ms = min((call.sent_ms for call in calls), default=version.sent_ms)
    return RecordedChange(version, sent_ms, min(acked, default=NEVER_MS), refusals)


def routes_by_name(document):
    """The routes of a document, keyed by name."""
    return {route["name"]: route for route in document.get("route-table", ())}


def same_document(document, version):
    """Whether a document that was read is the result of a version."""
    return document["issue"] == version.issue and routes_by_name(document) == routes_by_name(version.document)


def contradictions(changes):
    """Yields violations by changes acknowledged and refused, invalid but acknowledged, or valid but called invalid."""
    for change in changes:
        issue, statuses = change.version.issue, [call.status for call in change.refusals]
        if change.acked_ms < NEVER_MS and change.refusals:
            yield Violation(
                RULE, f"change {issue} was acknowledged at {round(change.acked_ms)} and refused with {statuses}"
            )
        if change.acked_ms < NEVER_MS and not change.version.valid:
            yield Violation(RULE, f"change {issue} is invalid and was acknowledged")
        if change.version.valid and any(status != 412 for status in statuses):
            yield Violation(RULE, f"change {issue} is valid and was refused with {statuses}")


def candidates_by_base(changes, reads):
    """Changes that a chain may contain, by base: not refused, and consistent with all acknowledgements and reads."""
    acked_by_issue, reads_by_issue = defaultdict(list), defaultdict(list)
    for change in changes:
        if change.acked_ms < NEVER_MS:
            acked_by_issue[change.version.issue].append(change)
    for read in reads:
        reads_by_issue[read.call.document["issue"]].append(read.changes)
    candidates = defaultdict(list)
    for change in changes:
        version = change.version
        if not version.valid or change.refusals or version.issue <= version.base:
            continue
        if all(other is change for other in acked_by_issue[version.issue]) and all(
            change in possible for possible in reads_by_issue[version.issue]
        ):
            candidates[version.base].append(change)
    return candidates


def chains(root, changes, reads):
    """Yields chains from `root`, depth first, that contain every version that was acknowledged or read."""
    candidates = candidates_by_base(changes, reads)
    required_issues = sorted(
        {change.version.issue for change in changes if change.acked_ms < NEVER_MS}
        | {read.call.document["issue"] for read in reads}
    )
    stack, steps = [[root]], 0
    while stack and steps < MAX_SEARCH_STEPS:
        chain, steps = stack.pop(), steps + 1
        last = chain[-1].version.issue
        next_required = next((issue for issue in required_issues if issue > last), None)
        if next_required is None:
            yield chain
        extensions = [
            change for change in candidates[last] if next_required is None or change.version.issue <= next_required
        ]
        stack.extend([*chain, change] for change in sorted(extensions, key=lambda change: change.acked_ms < NEVER_MS))


def effect_intervals(chain, reads):
    """Returns the earliest and the latest times, in ms, at which each change of a chain can have taken effect."""
    calls_of = defaultdict(list)
    included = {id(change) for change in chain}
    for read in reads:
        calls_of[next(id(change) for change in read.changes if id(change) in included)].append(read.call)
    lows, highs, low_ms, high_ms = [], [], -NEVER_MS, NEVER_MS
    for change in chain:
        low_ms = max(low_ms, change.sent_ms)
        lows.append(low_ms)
        low_ms = max([low_ms, *(call.sent_ms for call in calls_of[id(change)])])
    for change in reversed(chain):
        high_ms = min([high_ms, change.acked_ms, *(call.ended_ms for call in calls_of[id(change)])])
        highs.append(high_ms)
    return lows, highs[::-1]


def timing_violations(chain, changes, reads):
    """Yields violations of real-time order for a chain of changes."""
    lows, highs = effect_intervals(chain, reads)
    for change, low_ms, high_ms in zip(chain, lows, highs, strict=True):
        if low_ms > high_ms:
            yield Violation(
                RULE,
                f"version {change.version.issue} took effect by {round(high_ms)}, but an older one was "
                f"read, or this one first requested, at {round(low_ms)}",
            )
    current_periods = {
        change.version.issue: (highs[index], (*lows, NEVER_MS)[index + 1]) for index, change in enumerate(chain)
    }
    for change in changes:
        for call in change.refusals if change.version.valid else ():
            from_ms, until_ms = current_periods.get(change.version.base, (NEVER_MS, NEVER_MS))
            if from_ms <= call.sent_ms and call.ended_ms < until_ms:
                yield Violation(
                    RULE,
                    f"change {change.version.issue} was refused by {call.daemon} at {round(call.ended_ms)} "
                    f"while its base {change.version.base} was the current version",
                )


def recorded_reads(root, changes, calls):
    """Returns the reads among the calls, and violations for documents that no version produces."""
    reads, violations = [], []
    for call in calls:
        if call.document is None:
            continue
        matching = [change for change in (root, *changes) if same_document(call.document, change.version)]
        if matching:
            reads.append(RecordedRead(call, matching))
        else:
            violations.append(
                Violation(RULE, f"{call.daemon} returned version {call.document['issue']}, which no operator sent")
            )
    return reads, violations


def linearizable(versions, calls):
    """Yields violations if the recorded calls of all operators are not linearizable."""
    calls_of = defaultdict(list)
    for call in calls:
        calls_of[id(call.version)].append(call)
    changes = [recorded_change(version, calls_of[id(version)]) for version in versions]
    root = RecordedChange(INITIAL_VERSION, -NEVER_MS, -NEVER_MS, [])
    reads, unsent_versions = recorded_reads(root, changes, calls)
    violations = [*contradictions(changes), *unsent_versions]
    yield from violations or unexplained_calls(root, changes, reads)


def unexplained_calls(root, changes, reads):
    """Yields nothing if a chain is consistent with all calls, otherwise the violations of the first chain."""
    first = None
    for chain in chains(root, changes, reads):
        violations = list(timing_violations(chain, changes, reads))
        if not violations:
            return
        first = first or violations
    yield from first or [Violation(RULE, f"no chain of changes explains the responses: {conflicting_bases(changes)}")]


def conflicting_bases(changes):
    """Bases with more than one acknowledged change, or that no accepted change can have produced."""
    acked_by_base, reachable = (
        defaultdict(list),
        {0, *(change.version.issue for change in changes if not change.refusals)},
    )
    for change in changes:
        if change.acked_ms < NEVER_MS:
            acked_by_base[change.version.base].append(change.version.issue)
    return [
        (base, issues) for base, issues in sorted(acked_by_base.items()) if len(issues) > 1 or base not in reachable
    ]
