import socket
import struct
from threading import Thread
from types import SimpleNamespace

import pytest
from fleet_simulator import stage as stages
from fleet_simulator import world as worlds
from msgspec import json
from test_cluster_lease_client import endpoint_of, new_agent, sent
from test_cluster_replica_daemon import directory_requests, new_replica
from twisted.internet.task import Clock

from frostpost.admin import arguments, commands, frame_client
from frostpost.admin import fleet as fleets
from frostpost.admin.fleet_checks import check_fleet
from frostpost.cluster import agent as agents
from frostpost.cluster import operation_client, replica_daemon, status
from frostpost.command import main
from frostpost.program_ledger.messages import EndAttempt
from frostpost.virtual_synchrony.agent_messages import (
    DirectoryReply,
    DirectoryRequest,
    LeaseRequest,
    StatusReply,
    StatusRequest,
)
from frostpost.virtual_synchrony.endpoints import Endpoint, Member
from frostpost.virtual_synchrony.frames import FRAME_VERSION, Frame
from frostpost.virtual_synchrony.messages import DiscoveryUpdate

OPERATOR = Endpoint(Member("operator", 1), "operator", "", "o", 9, 0)
STATUS_FRAME = Frame(FRAME_VERSION, OPERATOR, "", StatusRequest())


@pytest.fixture
def replies(monkeypatch):
    out = []
    monkeypatch.setattr(status, "make_links", lambda ctx: lambda to, body: out.append((to, body)))
    return out


def facts_of(replies):
    ((to, reply),) = replies
    replies.clear()
    assert to == "@o:9"
    return json.decode(reply.status_json)


def test_status_messages_are_decoded_as_encoded():
    for body in (StatusRequest(), StatusReply(b"{}")):
        assert frame_client.decode(frame_client.encode(Frame(FRAME_VERSION, OPERATOR, "", body))).body == body


def test_an_agent_replies_with_its_facts(replies):
    clock = Clock()
    agent = new_agent(clock)
    status.begin_status(agent)
    clock.advance(2)
    agents.on_frame(agent, Frame(FRAME_VERSION, endpoint_of("s1"), "", DiscoveryUpdate((), False)))
    operation_client.submit_until_decided(agent, EndAttempt("a", 3))
    agent.runners = {"r": SimpleNamespace(draining=True)}
    agent.loads = {"r": SimpleNamespace(ejected_until_ms=9999), "gone": SimpleNamespace(ejected_until_ms=9999)}
    agents.on_frame(agent, STATUS_FRAME)
    facts = facts_of(replies)
    assert (facts["name"], facts["role"], facts["uptime_ms"], facts["lease_left_ms"]) == ("e1", "edge", 2000, 0)
    assert (facts["ring"], facts["open_asks"]) == (["s1"], 1)
    assert facts["runners"] == {"known": 1, "draining": 1, "resting": 1}


def test_an_agent_does_not_record_an_operator(replies):
    agent = new_agent(Clock())
    for body in (DirectoryRequest(), DiscoveryUpdate((endpoint_of("s9"),), False), LeaseRequest(0, 0)):
        agents.on_frame(agent, Frame(FRAME_VERSION, OPERATOR, "", body))
    assert replies == [("@o:9", DirectoryReply((), ()))] and sent(agent) == []
    assert agent.attachments.get("askers") is None and not agent.directory


def test_an_agent_records_an_agent_that_requests_the_directory():
    agent = new_agent(Clock())
    agents.on_frame(agent, Frame(FRAME_VERSION, endpoint_of("e2", "edge"), "", DirectoryRequest()))
    assert set(agent.attachments["askers"]) == {"e2"}


def test_a_replica_answers_before_and_after_it_has_the_bootstrap_record(monkeypatch, replies):
    replica, out, _ = new_replica(monkeypatch)
    replica_daemon.start(replica)
    replica_daemon.on_frame(replica, STATUS_FRAME)
    facts = facts_of(replies)
    assert facts["charter_waiting"] and facts["tolerated"] == 1 and "configuration" not in facts
    replica_daemon.on_frame(
        replica, Frame(FRAME_VERSION, endpoint_of("c1", "core"), "", DirectoryReply((), ("s1", "s2", "s3")))
    )
    replica_daemon.on_frame(replica, STATUS_FRAME)
    facts = facts_of(replies)
    assert facts["members"] == ["s1"] and not facts["primary_opened"] and facts["voters"] == ["s1", "s2", "s3"]
    out.clear()
    replica_daemon.on_frame(replica, Frame(FRAME_VERSION, OPERATOR, "", DirectoryRequest()))
    replica_daemon.on_frame(replica, Frame(FRAME_VERSION, OPERATOR, "", LeaseRequest(0, 0)))
    assert replies == [("@o:9", DirectoryReply((replica.ctx.endpoint,)))]
    assert (
        not replica.sessions.agents
        and "operator" not in replica.ctx.core.synchrony.peers
        and directory_requests(out) == []
    )


def simulated_ask(world, replies):
    """Returns a stand-in for `frame_client.query_daemons` on a simulated deployment; dead daemons do not reply."""

    def ask(addresses, body, kind):
        answers = {}
        for daemon in world.daemons.values():
            if (
                f"{daemon.host.address}:{worlds.INNER}" not in addresses
                or daemon.owner is None
                or not daemon.host.alive
            ):
                continue
            receive = replica_daemon.on_frame if daemon.role == "storage" else agents.on_frame
            receive(daemon.owner, Frame(FRAME_VERSION, OPERATOR, "", body))
            endpoint = daemon.owner.ctx.endpoint if daemon.role == "storage" else daemon.owner.endpoint
            answers |= {
                f"{daemon.host.address}:{worlds.INNER}": (endpoint, reply)
                for _, reply in replies
                if isinstance(reply, kind)
            }
            replies.clear()
        return answers

    return ask


@pytest.fixture(scope="module")
def world():
    world = worlds.make(4)
    for daemon in list(world.daemons.values()):
        worlds.start(world, daemon)
    assert stages.await_(world, stages.operator_of(world, "a").found(), 40000) == 200
    assert stages.settle(world, 15000) >= 0
    return world


def gather_findings(world, replies):
    seeds = [f"{d.host.address}:{worlds.INNER}" for d in world.of("core")]
    fleet = fleets.query_fleet(seeds, simulated_ask(world, replies))
    return fleet, check_fleet(fleet, fleets.sequencer_facts(fleet))


def test_a_deployment_has_no_findings_until_a_voter_dies(world, replies):
    fleet, findings = gather_findings(world, replies)
    assert findings == []
    assert set(fleet.ring) == {d.name for d in world.of("storage")}
    assert set(fleet.agents) == {d.name for d in world.of("core", "edge")}
    text = fleets.format_fleet(fleet)
    assert all(name in text for name in world.daemons) and "sequencer" in text
    sequencer_name = fleets.sequencer_facts(fleet)["name"]
    killed, agent = next(d for d in world.of("storage") if d.name != sequencer_name), world.of("edge")[0]
    for daemon in (killed, agent):
        worlds.kill(world, daemon)
    world.run(world.now_ms() + 3000)
    fleet, findings = gather_findings(world, replies)
    assert {(f.problem, f.where) for f in findings} == {
        ("VoterAway", killed.name),
        ("Silent", killed.name),
        ("Silent", agent.name),
    }
    assert all(f.cause and f.remedy for f in findings)
    assert f"{killed.name} at {killed.host.address}:{worlds.INNER}: no answer" in fleets.format_fleet(fleet)


def sequencer_facts(**changes):
    return {
        "name": "s1",
        "zone": "a",
        "charter_waiting": False,
        "tolerated": 1,
        "disk_unwell": False,
        "refilled": True,
        "log_length": 40,
        "turn_store": {"bodies": 1, "missing": 0, "bytes": 9, "lost": False},
        "members": ["s1", "s2", "s3"],
        "configuration": {"epoch": 3, "proposer": "s1", "boot": 1},
        "sequencing": True,
        "primary_opened": True,
        "voters": ["s1", "s2", "s3"],
        "routing": {"version": 7, "honoured": 7},
        "retiring": {},
        "leaves": {},
    } | changes


def agent_facts(**changes):
    return {
        "name": "e1",
        "zone": "a",
        "lease_left_ms": 900,
        "routing": {"held": 7, "known": 7, "honoured": 7},
        "list": {"wanted": True, "address": "h:1", "fetched": True},
    } | changes


def fleet_of(sequencer, agent=None, others=(), zones="abc"):
    daemons = {"s1": sequencer} | {n: sequencer_facts(name=n, sequencing=False) for n in ("s2", "s3")} | dict(others)
    return fleets.Fleet(
        ring=daemons, agents={"e1": agent or agent_facts()}, zones=dict(zip(("s1", "s2", "s3"), zones, strict=True))
    )


RETIRING = {"retiring": {"s3": "in_service"}}
FOUR_VOTERS = {"voters": ["s1", "s2", "s3", "s4"], "members": ["s1", "s2", "s3", "s4"]}
WITH_MISSING_BODIES = sequencer_facts(
    name="s2", sequencing=False, turn_store={"bodies": 0, "missing": 2, "bytes": 0, "lost": False}
)
WITH_MISSING_ENTRIES = sequencer_facts(name="s2", sequencing=False, refilled=False, log_length=14)
IN_OTHER_CONFIGURATION = sequencer_facts(
    name="s2", sequencing=False, configuration={"epoch": 4, "proposer": "s2", "boot": 1}
)


@pytest.mark.parametrize(
    "fleet,problems",
    [
        (fleet_of(sequencer_facts()), set()),
        (fleet_of(sequencer_facts(sequencing=False)), {("NoPrimary", "s1, s2, s3")}),
        (fleet_of(sequencer_facts(charter_waiting=True)), {("CharterWaiting", "s1")}),
        (fleet_of(sequencer_facts(members=["s1", "s2"])), {("VoterAway", "s3")}),
        (fleet_of(sequencer_facts(**FOUR_VOTERS)), {("EvenVoters", "s1, s2, s3, s4")}),
        (fleet_of(sequencer_facts(tolerated=2)), {("FewVoters", "s1, s2, s3")}),
        (fleet_of(sequencer_facts(), zones="aab"), {("ZoneMajority", "a")}),
        (fleet_of(sequencer_facts(), zones="aaa"), set()),
        (fleet_of(sequencer_facts(disk_unwell=True)), {("DiskUnwell", "s1")}),
        (fleet_of(sequencer_facts(), others={"s2": WITH_MISSING_BODIES}), {("BodiesMissing", "s2")}),
        (fleet_of(sequencer_facts(), others={"s2": IN_OTHER_CONFIGURATION}), {("Split", "2 in 3 by s1, 1 in 4 by s2")}),
        (fleet_of(sequencer_facts(), others={"s2": WITH_MISSING_ENTRIES}), {("Incomplete", "s2")}),
        (fleet_of(sequencer_facts(dropped_frames={"h:2": 3})), {("FramesDropped", "s1")}),
        (fleet_of(sequencer_facts(), agent_facts(dropped_frames={"h:2": 3})), {("FramesDropped", "e1")}),
        (fleet_of(sequencer_facts(**RETIRING)), {("RetiringStuck", "s3")}),
        (fleet_of(sequencer_facts(tolerated=0, **RETIRING)), set()),
        (
            fleet_of(sequencer_facts(tolerated=0, **RETIRING), others={"s2": WITH_MISSING_BODIES}),
            {("RetiringStuck", "s3"), ("BodiesMissing", "s2")},
        ),
        (fleet_of(sequencer_facts(retiring={"s3": "completed"})), {("RetiredStays", "s3")}),
        (fleet_of(sequencer_facts(), agent_facts(lease_left_ms=0)), {("NoLease", "e1")}),
        (
            fleet_of(sequencer_facts(), agent_facts(routing={"held": 6, "known": 7, "honoured": 6})),
            {("RoutingLag", "e1")},
        ),
        (
            fleet_of(sequencer_facts(), agent_facts(list={"wanted": True, "address": "", "fetched": False})),
            {("ListNeverFetched", "e1")},
        ),
        (fleet_of(sequencer_facts(), agent_facts(list={"wanted": False, "address": "", "fetched": False})), set()),
    ],
)
def test_each_problem_is_the_only_finding(fleet, problems):
    findings = check_fleet(fleet, fleets.sequencer_facts(fleet))
    assert {(f.problem, f.where) for f in findings} == problems and all(f.cause and f.remedy for f in findings)


def test_a_frame_is_decoded_once_all_its_bytes_have_arrived():
    data = frame_client.encode(STATUS_FRAME)
    buffer = bytearray(struct.pack("!I", len(data)) + data + b"\0")
    assert list(frame_client.take_frames(buffer)) == [STATUS_FRAME] and buffer == b"\0"
    with pytest.raises(ValueError):
        list(frame_client.take_frames(bytearray(b"\xff\xff\xff\xff")))


def test_a_daemon_replies_to_the_port_on_which_the_command_listens():
    daemon = socket.create_server(("127.0.0.1", 0))
    port = daemon.getsockname()[1]

    def serve():
        connection, _ = daemon.accept()
        with connection, connection.makefile("rb") as file:
            frame = frame_client.decode(file.read(struct.unpack("!I", file.read(4))[0]))
        endpoint = Endpoint(Member("c1", 1), "core", "z", "127.0.0.1", port, 0)
        data = frame_client.encode(Frame(FRAME_VERSION, endpoint, "", StatusReply(b"{}")))
        with socket.create_connection((frame.endpoint.host, frame.endpoint.port), 2) as reply_connection:
            reply_connection.sendall(struct.pack("!I", len(data)) + data)

    thread = Thread(target=serve, daemon=True)
    thread.start()
    answers = frame_client.query_daemons({f"127.0.0.1:{port}", "127.0.0.1:1"}, StatusRequest(), StatusReply)
    thread.join(2)
    daemon.close()
    assert {address: reply.status_json for address, (_, reply) in answers.items()} == {f"127.0.0.1:{port}": b"{}"}


def test_several_seed_options_are_accepted(monkeypatch):
    parsed = []
    monkeypatch.setattr("sys.argv", ["frostpost", "admin", "fleet", "--seed", "a:1", "--seed", "b:2", "--doctor"])
    monkeypatch.setitem(commands.ACTIONS, arguments.Fleet, lambda command, _: parsed.append(command))
    main()
    assert (parsed[0].seed, parsed[0].doctor) == (["a:1", "b:2"], True)
