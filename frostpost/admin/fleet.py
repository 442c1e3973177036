"""The whole fleet on the users' machines, asked daemon by daemon."""

import sys

from msgspec import DecodeError, Struct, json, to_builtins

from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, StatusReply, StatusRequest

from . import inner
from .asking import DONE, FOUND, UNREACHED, say
from .remedies import findings_of

DEPTH = 3


class Fleet(Struct):
    """ring, leaves: name -> facts of those that answered. silent: name -> address of those that didn't.
    zones: name -> zone of the replicas. listed: the agents as the replicas see them.
    """

    seeds_silent: list[str] = []
    ring: dict[str, dict] = {}
    agents: dict[str, dict] = {}
    ring_silent: dict[str, str] = {}
    leaves_silent: dict[str, str] = {}
    zones: dict[str, str] = {}
    listed: dict[str, dict] = {}


def take(fleet, answers):
    """Sort facts in; -> addresses whose answer could be read."""
    read = set()
    for address, (endpoint, tell) in answers.items():
        try:
            facts = json.decode(tell.status_json, type=dict)
        except DecodeError:
            continue
        read.add(address)
        (fleet.ring if endpoint.role == "storage" else fleet.agents)[endpoint.member.name] = facts
        if endpoint.role == "storage":
            fleet.zones[endpoint.member.name] = endpoint.zone
    return read


def chief_of(fleet):
    """Facts of the replica that sequences the primary, or None; of two, that of the later configuration."""
    found = [f for f in fleet.ring.values() if f.get("sequencing")]
    return max(found, key=lambda f: f["configuration"]["epoch"], default=None)


def leaves_listed(fleet):
    """Agents as the sequencer sees them; those that it never saw, as the daemons do that sequenced before."""
    listed, chief = {}, chief_of(fleet)
    for facts in fleet.ring.values():
        for name, seen in facts.get("leaves", {}).items():
            left_ms = listed.get(name, seen)["lease_left_ms"]
            if left_ms is None or (seen["lease_left_ms"] or 0) >= left_ms:
                listed[name] = seen
    return listed | (chief["leaves"] if chief else {})


def ring_of(ask, seeds):
    """Name -> place of the replicas, told by the seeds and by those that they tell of."""
    places, asked, fresh = {}, set(), set(seeds)
    for _ in range(DEPTH):
        asked |= fresh
        for _, told in ask(fresh, DirectoryRequest(), DirectoryReply).values():
            places |= {endpoint.member.name: endpoint for endpoint in told.endpoints if endpoint.role == "storage"}
        fresh = {address_of(endpoint) for endpoint in places.values()} - asked
        if not fresh:
            break
    return places


def address_of(endpoint):
    """Return a daemon's inner address, `IP:port`."""
    return f"{endpoint.host}:{endpoint.port}"


def gather(seeds, ask=inner.ask):
    """Fleet, as its daemons tell it; ask(addresses, body, kind) -> address -> (place, answer)."""
    fleet = Fleet()
    places = ring_of(ask, seeds)
    ring = {name: address_of(endpoint) for name, endpoint in places.items()}
    fleet.zones |= {name: endpoint.zone for name, endpoint in places.items()}
    asked = {*seeds, *ring.values()}
    reached = take(fleet, ask(asked, StatusRequest(), StatusReply))
    fleet.seeds_silent = [seed for seed in seeds if seed not in reached]
    fleet.ring_silent = {name: address for name, address in ring.items() if name not in fleet.ring}
    fleet.listed = leaves_listed(fleet)
    leaves = {name: seen["address"] for name, seen in fleet.listed.items()}
    take(fleet, ask(set(leaves.values()) - asked, StatusRequest(), StatusReply))
    fleet.leaves_silent = {name: address for name, address in leaves.items() if name not in fleet.agents}
    return fleet


def state_of(facts):
    """Return a storage daemon's state in a few words."""
    if facts["charter_waiting"]:
        return "waits for the charter"
    if facts.get("recovering"):
        return "recovering"
    if facts.get("sequencing"):
        return "sequencer"
    return "member" if facts.get("primary_opened") else "no primary"


def ring_row(name, facts):
    """Return the columns for a storage daemon."""
    id, turn_store = facts.get("configuration", {}), facts["turn_store"]
    return [
        name,
        facts["zone"],
        state_of(facts),
        f"{id.get('epoch', '-')} by {id.get('proposer', '-')}",
        f"{len(facts.get('members', ()))} members",
        f"applied {facts.get('applied', 0)}",
        f"routing {facts.get('routing', {}).get('version', 0)}",
        f"bodies {turn_store['bodies']}, missing {turn_store['missing']}",
        "DISK UNWELL" if facts["disk_unwell"] else "disk well",
    ]


def leaf_row(name, facts):
    """Return the columns for an edge or core daemon."""
    routing, runners = facts["routing"], facts["runners"]
    return [
        name,
        facts["zone"],
        facts["role"],
        f"lease {facts['lease_left_ms']} ms of {facts['sequencer'] or '-'}",
        f"routing {routing['held']}/{routing['known']}",
        f"open {facts['open_asks']}",
        f"flights {facts['flights']}",
        f"runners {runners['known']}, draining {runners['draining']}, resting {runners['resting']}",
        "leaving" if facts["leaving"] else "",
    ]


def table(rows):
    """Return rows as lines with aligned columns."""
    if not rows:
        return []
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return ["  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip() for row in rows]


def text_of(fleet):
    """Return a fleet as text."""
    chief = chief_of(fleet)
    lines = [f"voters: {', '.join(chief['voters'])}" if chief else "no primary"]
    lines += table([ring_row(*one) for one in sorted(fleet.ring.items())])
    lines += table([leaf_row(*one) for one in sorted(fleet.agents.items())])
    silent = sorted((fleet.ring_silent | fleet.leaves_silent).items())
    return "\n".join([*lines, *(f"{name} at {address}: no answer" for name, address in silent)])


def run(command, _):
    """Run the fleet command."""
    addresses = {given: inner.resolved(given) for given in command.seed}
    fleet = gather([address for address in addresses.values() if address])
    fleet.seeds_silent += [given for given, address in addresses.items() if address is None]
    if not fleet.ring and not fleet.agents:
        print(f"Unreached: {', '.join(command.seed)}: no daemon answers there", file=sys.stderr)
        return UNREACHED
    if not command.doctor:
        say(command, to_builtins(fleet), text_of(fleet))
        return DONE
    findings = findings_of(fleet, chief_of(fleet))
    text = "\n".join(f"{f.problem} at {f.where}: {f.cause}; {f.remedy}" for f in findings)
    say(command, to_builtins(findings), text or f"{len(fleet.ring) + len(fleet.agents)} daemons are in order")
    return FOUND if findings else DONE
