"""Query every daemon of a fleet over its inner address, and print their statuses."""

import sys

from msgspec import DecodeError, Struct, json, to_builtins

from frostpost.virtual_synchrony.agent_messages import DirectoryReply, DirectoryRequest, StatusReply, StatusRequest

from . import frame_client
from .api_client import EXIT_FOUND, EXIT_OK, EXIT_UNREACHABLE, print_result
from .fleet_checks import check_fleet

DISCOVERY_ROUNDS = 3


class Fleet(Struct):
    """Statuses of a fleet's daemons; all maps are keyed by daemon name.

    `ring` and `agents` hold the facts of the replicas and agents that answered, `ring_silent` and `leaves_silent` the
    addresses of those that did not, `zones` the zones of the replicas, and `listed` the agents that the replicas list.
    """

    seeds_silent: list[str] = []
    ring: dict[str, dict] = {}
    agents: dict[str, dict] = {}
    ring_silent: dict[str, str] = {}
    leaves_silent: dict[str, str] = {}
    zones: dict[str, str] = {}
    listed: dict[str, dict] = {}


def add_answers(fleet, answers):
    """Add the answers to `fleet`. Returns the addresses whose answer could be decoded."""
    readable = set()
    for address, (endpoint, reply) in answers.items():
        try:
            facts = json.decode(reply.status_json, type=dict)
        except DecodeError:
            continue
        readable.add(address)
        (fleet.ring if endpoint.role == "storage" else fleet.agents)[endpoint.member.name] = facts
        if endpoint.role == "storage":
            fleet.zones[endpoint.member.name] = endpoint.zone
    return readable


def sequencer_facts(fleet):
    """Return the facts of the primary's sequencer, or None; of two, those of the later configuration."""
    candidates = [f for f in fleet.ring.values() if f.get("sequencing")]
    return max(candidates, key=lambda f: f["configuration"]["epoch"], default=None)


def list_agents(fleet):
    """Return the agents by name as the sequencer lists them.

    An agent that the sequencer doesn't list is taken from the replica that has its latest lease.
    """
    listed, sequencer = {}, sequencer_facts(fleet)
    for facts in fleet.ring.values():
        for name, agent in facts.get("leaves", {}).items():
            lease_left_ms = listed.get(name, agent)["lease_left_ms"]
            if lease_left_ms is None or (agent["lease_left_ms"] or 0) >= lease_left_ms:
                listed[name] = agent
    return listed | (sequencer["leaves"] if sequencer else {})


def discover_replicas(query, seeds):
    """Return the replicas' endpoints by name, found through the seeds and through the replicas that these list."""
    endpoints, queried, pending = {}, set(), set(seeds)
    for _ in range(DISCOVERY_ROUNDS):
        queried |= pending
        for _, reply in query(pending, DirectoryRequest(), DirectoryReply).values():
            endpoints |= {endpoint.member.name: endpoint for endpoint in reply.endpoints if endpoint.role == "storage"}
        pending = {address_of(endpoint) for endpoint in endpoints.values()} - queried
        if not pending:
            break
    return endpoints


def address_of(endpoint):
    """Return a daemon's inner address, `IP:port`."""
    return f"{endpoint.host}:{endpoint.port}"


def query_fleet(seeds, query=frame_client.query_daemons):
    """Query all daemons that can be found from the seeds. Returns a Fleet.

    `query(addresses, body, kind)` returns the (endpoint, answer) of each address that answered.
    """
    fleet = Fleet()
    endpoints = discover_replicas(query, seeds)
    replica_addresses = {name: address_of(endpoint) for name, endpoint in endpoints.items()}
    fleet.zones |= {name: endpoint.zone for name, endpoint in endpoints.items()}
    queried = {*seeds, *replica_addresses.values()}
    reached = add_answers(fleet, query(queried, StatusRequest(), StatusReply))
    fleet.seeds_silent = [seed for seed in seeds if seed not in reached]
    fleet.ring_silent = {name: address for name, address in replica_addresses.items() if name not in fleet.ring}
    fleet.listed = list_agents(fleet)
    agent_addresses = {name: agent["address"] for name, agent in fleet.listed.items()}
    add_answers(fleet, query(set(agent_addresses.values()) - queried, StatusRequest(), StatusReply))
    fleet.leaves_silent = {name: address for name, address in agent_addresses.items() if name not in fleet.agents}
    return fleet


def describe_state(facts):
    """Describe a storage daemon's state."""
    if facts["charter_waiting"]:
        return "waiting for the charter"
    if facts.get("recovering"):
        return "recovering"
    if facts.get("sequencing"):
        return "sequencer"
    return "member" if facts.get("primary_opened") else "no primary"


def replica_row(name, facts):
    """Return the columns for a storage daemon."""
    configuration, turn_store = facts.get("configuration", {}), facts["turn_store"]
    return [
        name,
        facts["zone"],
        describe_state(facts),
        f"{configuration.get('epoch', '-')} by {configuration.get('proposer', '-')}",
        f"{len(facts.get('members', ()))} members",
        f"applied {facts.get('applied', 0)}",
        f"routing {facts.get('routing', {}).get('version', 0)}",
        f"bodies {turn_store['bodies']}, missing {turn_store['missing']}",
        "DISK UNWELL" if facts["disk_unwell"] else "disk well",
    ]


def agent_row(name, facts):
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


def format_fleet(fleet):
    """Format a fleet as text."""
    sequencer = sequencer_facts(fleet)
    lines = [f"voters: {', '.join(sequencer['voters'])}" if sequencer else "no primary"]
    lines += table([replica_row(*daemon) for daemon in sorted(fleet.ring.items())])
    lines += table([agent_row(*daemon) for daemon in sorted(fleet.agents.items())])
    unanswered = sorted((fleet.ring_silent | fleet.leaves_silent).items())
    return "\n".join([*lines, *(f"{name} at {address}: no answer" for name, address in unanswered)])


def run(command, _):
    """Query a fleet, and print its statuses or the findings of its checks."""
    addresses = {seed: frame_client.resolve_address(seed) for seed in command.seed}
    fleet = query_fleet([address for address in addresses.values() if address])
    fleet.seeds_silent += [seed for seed, address in addresses.items() if address is None]
    if not fleet.ring and not fleet.agents:
        print(f"Unreached: {', '.join(command.seed)}: no daemon answers there", file=sys.stderr)
        return EXIT_UNREACHABLE
    if not command.doctor:
        print_result(command, to_builtins(fleet), format_fleet(fleet))
        return EXIT_OK
    findings = check_fleet(fleet, sequencer_facts(fleet))
    text = "\n".join(f"{f.problem} at {f.where}: {f.cause}; {f.remedy}" for f in findings)
    print_result(
        command,
        to_builtins(findings),
        text or f"{len(fleet.ring) + len(fleet.agents)} daemons checked, no problems found",
    )
    return EXIT_FOUND if findings else EXIT_OK
