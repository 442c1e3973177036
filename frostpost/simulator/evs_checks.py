"""Check a history against the specifications of extended virtual synchrony, numbered as in the paper."""

from collections import defaultdict
from itertools import pairwise

from msgspec import Struct

from frostpost.virtual_synchrony.events import ConfigurationChanged, EntryDelivered


class Broken(Struct, frozen=True):
    """A violation of a specification."""

    spec: str
    text: str


class Life(Struct):
    """One boot of a node: the configurations it installed and what it delivered in each."""

    member: object
    stages: list = []
    failed: bool = False


class Stage(Struct):
    """One configuration of a life and the entries delivered in it."""

    configuration: object
    transitional: bool
    delivered: list = []


def lives(history):
    """Return the lives of a history by member."""
    found = {}
    for _, member, answer in history:
        life = found.setdefault(member, Life(member))
        if answer == "failed":
            life.failed = True
        elif isinstance(answer, ConfigurationChanged):
            life.stages.append(Stage(answer.configuration, answer.transitional))
        elif isinstance(answer, EntryDelivered):
            life.stages[-1].delivered.append(answer.entry)
    return found


def id_of(stage):
    """Return a key that tells configurations apart, transitional ones by their members."""
    key = stage.configuration.id
    return (key, stage.configuration.members) if stage.transitional else (key, ())


def basics(found):
    """Check 1.3, 1.4 and 2.2: entries are delivered once, in their configuration, with one content."""
    contents = {}
    for life in found.values():
        seen = set()
        for stage in life.stages:
            if life.member not in stage.configuration.members:
                yield Broken("2.2", f"{life.member} installed {id_of(stage)} without being in it")
            for entry in stage.delivered:
                key = (entry.configuration, entry.ordinal)
                if entry.configuration != stage.configuration.id:
                    yield Broken("1.3", f"{life.member} delivered {key} in {id_of(stage)}")
                if key in seen:
                    yield Broken("1.4", f"{life.member} delivered {key} twice")
                seen.add(key)
                if contents.setdefault(key, entry) != entry:
                    yield Broken("1.4", f"{key} has two contents")


def regulars(life):
    """Return [regular, transitional] pairs of a life's configurations."""
    groups = []
    for stage in life.stages:
        if not stage.transitional:
            groups.append([stage, None])
        else:
            groups[-1][1] = stage
    return groups


def order(found):
    """Check that one order of all events exists (1.1, 2.3, 2.4, 6.1, 6.2)."""
    edges, into = defaultdict(set), defaultdict(int)
    nodes = set()
    for life in found.values():
        last = None
        for stage in life.stages:
            for node in [("conf", id_of(stage)), *(("m", e.configuration, e.ordinal) for e in stage.delivered)]:
                nodes.add(node)
                if last is not None and node not in edges[last]:
                    edges[last].add(node)
                    into[node] += 1
                last = node
    free = [n for n in nodes if not into[n]]
    done = 0
    while free:
        node = free.pop()
        done += 1
        for other in edges[node]:
            into[other] -= 1
            if not into[other]:
                free.append(other)
    if done != len(nodes):
        yield Broken("6.1", f"{len(nodes) - done} events lie on a cycle (1.1, 2.3, 2.4, 6.2)")


def ordinals(group):
    """Return the ordinals delivered in a pair of configurations."""
    return [e.ordinal for stage in group if stage for e in stage.delivered]


def causal(found):
    """Check that each life delivers without gaps (5, 6.3)."""
    for life in found.values():
        for group in regulars(life):
            said = ordinals(group)
            if said != list(range(1, len(said) + 1)):
                yield Broken("5", f"{life.member} delivered {said[:20]} in {id_of(group[0])} (6.3)")


def self_delivery(found, sent):
    """Check that members deliver what they ordered themselves (3)."""
    for life in found.values():
        for group in regulars(life)[:-1]:
            mine = sent.get((life.member, group[0].configuration.id), 0)
            if mine > len(ordinals(group)):
                yield Broken("3", f"{life.member} sent {mine} in {id_of(group[0])}, delivered fewer")


def atomicity(found):
    """Check that members that move together deliver the same (4)."""
    held = {}
    for life in found.values():
        for stage, after in pairwise(life.stages):
            key = (id_of(stage), id_of(after))
            said = [e.ordinal for e in stage.delivered]
            other, said0 = held.setdefault(key, (life.member, said))
            if said0 != said:
                yield Broken("4", f"{other} and {life.member} differ in {key}")


def safety(found):
    """Check that what one member delivers as safe, all do (7.1, 7.2)."""
    for life in found.values():
        for stage in life.stages:
            if not stage.delivered:
                continue
            top = stage.delivered[-1].ordinal
            for member in stage.configuration.members:
                other = found.get(member)
                groups = (
                    []
                    if other is None
                    else [g for g in regulars(other) if g[0].configuration.id == stage.configuration.id]
                )
                if not groups:
                    if not stage.transitional and (other is None or not other.failed):
                        yield Broken("7.2", f"{member} never installed {id_of(stage)}")
                    continue
                last = other.stages[-1].configuration.id == stage.configuration.id
                if top not in ordinals(groups[0]) and not (last and other.failed):
                    yield Broken("7.1", f"{life.member} delivered {top} in {id_of(stage)}, {member} did not")


def settled(found):
    """Check that members at rest agree on their configuration (2.1)."""
    alive = {m: life for m, life in found.items() if not life.failed}
    for member, life in alive.items():
        last = life.stages[-1]
        for other in last.configuration.members:
            if other not in alive or id_of(alive[other].stages[-1]) != id_of(last):
                yield Broken("2.1", f"{member} rests in {id_of(last)}, {other} does not")


def evs(history, sent):
    """Return all violations of a history; sent: the last ordinal each member ordered, by configuration."""
    found = lives(history)
    return [
        *basics(found),
        *order(found),
        *causal(found),
        *self_delivery(found, sent),
        *atomicity(found),
        *safety(found),
        *settled(found),
    ]
