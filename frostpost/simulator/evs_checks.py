"""Checks a history against the specifications of Extended Virtual Synchrony, numbered as in the paper.

A history is a list of (time, member, notification); "failed" in place of a notification marks the end of a process.
"""

from collections import defaultdict
from itertools import pairwise

from msgspec import Struct

from frostpost.virtual_synchrony.events import ConfigurationChanged, EntryDelivered


class Violation(Struct, frozen=True):
    """A violation of a specification."""

    spec: str
    text: str


class Incarnation(Struct):
    """One run of a member's process: the configurations that it installed, and whether it failed."""

    member: object
    installations: list = []
    failed: bool = False


class Installation(Struct):
    """A configuration installed by one incarnation, and the entries delivered in it."""

    configuration: object
    transitional: bool
    delivered: list = []


def incarnations_by_member(history):
    """Return the incarnations in a history, by member."""
    incarnations = {}
    for _, member, notification in history:
        incarnation = incarnations.setdefault(member, Incarnation(member))
        if notification == "failed":
            incarnation.failed = True
        elif isinstance(notification, ConfigurationChanged):
            incarnation.installations.append(Installation(notification.configuration, notification.transitional))
        elif isinstance(notification, EntryDelivered):
            incarnation.installations[-1].delivered.append(notification.entry)
    return incarnations


def configuration_key(installation):
    """Return a key that identifies a configuration; a transitional one is identified by its members too."""
    configuration_id = installation.configuration.id
    return (
        (configuration_id, installation.configuration.members) if installation.transitional else (configuration_id, ())
    )


def check_delivery(incarnations):
    """Check 1.3, 1.4 and 2.2: each entry is delivered at most once, in its configuration and with one content."""
    contents = {}
    for incarnation in incarnations.values():
        delivered = set()
        for installation in incarnation.installations:
            if incarnation.member not in installation.configuration.members:
                yield Violation(
                    "2.2", f"{incarnation.member} installed {configuration_key(installation)} without being in it"
                )
            for entry in installation.delivered:
                key = (entry.configuration, entry.ordinal)
                if entry.configuration != installation.configuration.id:
                    yield Violation("1.3", f"{incarnation.member} delivered {key} in {configuration_key(installation)}")
                if key in delivered:
                    yield Violation("1.4", f"{incarnation.member} delivered {key} twice")
                delivered.add(key)
                if contents.setdefault(key, entry) != entry:
                    yield Violation("1.4", f"{key} has two contents")


def installation_pairs(incarnation):
    """Return [regular, transitional] pairs of an incarnation's installations; transitional is None if missing."""
    pairs = []
    for installation in incarnation.installations:
        if not installation.transitional:
            pairs.append([installation, None])
        else:
            pairs[-1][1] = installation
    return pairs


def check_total_order(incarnations):
    """Check that all events fit into one total order (1.1, 2.3, 2.4, 6.1, 6.2)."""
    successors, predecessor_counts = defaultdict(set), defaultdict(int)
    events = set()
    for incarnation in incarnations.values():
        previous = None
        for installation in incarnation.installations:
            for event in [
                ("conf", configuration_key(installation)),
                *(("m", e.configuration, e.ordinal) for e in installation.delivered),
            ]:
                events.add(event)
                if previous is not None and event not in successors[previous]:
                    successors[previous].add(event)
                    predecessor_counts[event] += 1
                previous = event
    ready = [candidate for candidate in events if not predecessor_counts[candidate]]
    ordered_count = 0
    while ready:
        event = ready.pop()
        ordered_count += 1
        for successor in successors[event]:
            predecessor_counts[successor] -= 1
            if not predecessor_counts[successor]:
                ready.append(successor)
    if ordered_count != len(events):
        yield Violation("6.1", f"{len(events) - ordered_count} events lie on a cycle (1.1, 2.3, 2.4, 6.2)")


def delivered_ordinals(pair):
    """Return the ordinals delivered in a pair of installations."""
    return [e.ordinal for installation in pair if installation for e in installation.delivered]


def check_no_gaps(incarnations):
    """Check that each incarnation delivers consecutive ordinals (5, 6.3)."""
    for incarnation in incarnations.values():
        for pair in installation_pairs(incarnation):
            ordinals = delivered_ordinals(pair)
            if ordinals != list(range(1, len(ordinals) + 1)):
                yield Violation(
                    "5", f"{incarnation.member} delivered {ordinals[:20]} in {configuration_key(pair[0])} (6.3)"
                )


def check_self_delivery(incarnations, sent):
    """Check that members deliver the entries that they ordered themselves (3)."""
    for incarnation in incarnations.values():
        for pair in installation_pairs(incarnation)[:-1]:
            sent_count = sent.get((incarnation.member, pair[0].configuration.id), 0)
            if sent_count > len(delivered_ordinals(pair)):
                yield Violation(
                    "3",
                    f"{incarnation.member} sent {sent_count} in {configuration_key(pair[0])}, delivered fewer",
                )


def check_failure_atomicity(incarnations):
    """Check that members that move together from one configuration to the next deliver the same entries (4)."""
    first_by_transition = {}
    for incarnation in incarnations.values():
        for installation, following in pairwise(incarnation.installations):
            key = (configuration_key(installation), configuration_key(following))
            ordinals = [e.ordinal for e in installation.delivered]
            other, other_ordinals = first_by_transition.setdefault(key, (incarnation.member, ordinals))
            if other_ordinals != ordinals:
                yield Violation("4", f"{other} and {incarnation.member} differ in {key}")


def check_safe_delivery(incarnations):
    """Check that an entry delivered as safe by one member is delivered by all members unless they fail (7.1, 7.2)."""
    for incarnation in incarnations.values():
        for installation in incarnation.installations:
            if not installation.delivered:
                continue
            last_ordinal = installation.delivered[-1].ordinal
            for member in installation.configuration.members:
                other = incarnations.get(member)
                pairs = (
                    []
                    if other is None
                    else [
                        p for p in installation_pairs(other) if p[0].configuration.id == installation.configuration.id
                    ]
                )
                if not pairs:
                    if not installation.transitional and (other is None or not other.failed):
                        yield Violation("7.2", f"{member} never installed {configuration_key(installation)}")
                    continue
                is_last = other.installations[-1].configuration.id == installation.configuration.id
                if last_ordinal not in delivered_ordinals(pairs[0]) and not (is_last and other.failed):
                    yield Violation(
                        "7.1",
                        f"{incarnation.member} delivered {last_ordinal} in {configuration_key(installation)}, "
                        f"{member} did not",
                    )


def check_final_configurations(incarnations):
    """Check that running members agree on their last configuration (2.1)."""
    running = {m: i for m, i in incarnations.items() if not i.failed}
    for member, incarnation in running.items():
        last = incarnation.installations[-1]
        for other in last.configuration.members:
            if other not in running or configuration_key(running[other].installations[-1]) != configuration_key(last):
                yield Violation("2.1", f"{member} rests in {configuration_key(last)}, {other} does not")


def find_evs_violations(history, sent):
    """Return all violations in a history. sent: the last ordinal ordered, by (member, configuration)."""
    incarnations = incarnations_by_member(history)
    return [
        *check_delivery(incarnations),
        *check_total_order(incarnations),
        *check_no_gaps(incarnations),
        *check_self_delivery(incarnations, sent),
        *check_failure_atomicity(incarnations),
        *check_safe_delivery(incarnations),
        *check_final_configurations(incarnations),
    ]
