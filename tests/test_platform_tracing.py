"""Lines that follow an attempt, and configuration documents shown in the product's terms."""

import pytest
import yaml
from msgspec import json, msgpack, structs
from test_cluster_lease_client import new_agent
from test_platform_front import Fleet
from test_platform_settings import DOCUMENT
from twisted.internet.task import Clock

from frostpost.cluster import attempt_tracing, operation_client
from frostpost.platform import main, settings
from frostpost.program_ledger.messages import AttemptEnded, EndAttempt, ReadRouting
from frostpost.virtual_synchrony.agent_messages import OperationReply


@pytest.fixture
def lines(monkeypatch):
    out = []
    monkeypatch.setattr(
        attempt_tracing, "log_event", lambda kind, **facts: out.append((kind, facts["attempt"], facts["at"], facts))
    )
    return out


@pytest.mark.parametrize("trace", [False, True])
def test_operations_are_followed_only_where_the_settings_say_so(lines, trace):
    agent, verdicts = new_agent(Clock()), []
    agent.settings = structs.replace(agent.settings, trace=trace)
    operation_client.call_replicas_unleased(agent, ReadRouting(), 100)
    operation_client.submit_until_decided(agent, EndAttempt("a", 3)).addCallback(verdicts.append)
    operation_client.on_operation_reply(
        agent, OperationReply(agent.endpoint.member.incarnation, 2, msgpack.encode(AttemptEnded()))
    )
    assert verdicts[0].ok == AttemptEnded()
    assert [line[:3] for line in lines] == [("trace", "a", "handed in"), ("trace", "a", "decided")][: 2 * trace]
    assert not trace or (lines[1][3]["operation"], lines[1][3]["verdict"]) == ("EndAttempt", "AttemptEnded")


@pytest.mark.parametrize("trace", [False, True])
def test_requests_are_followed_only_where_the_settings_say_so(lines, trace):
    fleet = Fleet()
    fleet.agent.settings.trace = trace
    _, sink = fleet.ask()
    sink.head(200, [])
    sink.end()
    assert fleet.said().startswith(b"HTTP/1.1 200") and fleet.agent.open_requests == 0
    assert [line[:3] for line in lines] == [("trace", "a1", "taken"), ("trace", "a1", "answered")][: 2 * trace]
    assert not trace or (lines[1][3]["status"], lines[1][3]["lost"]) == (200, False)


def test_trace_is_a_field_of_ours_in_the_platforms_file():
    document = yaml.safe_load(DOCUMENT)
    assert not settings.from_document(document).ok.trace
    assert settings.from_document({**document, "frostpost-trace": True}).ok.trace
    assert settings.from_document({**document, "frostpost-trace": "x"}).error.path == "frostpost-trace"


@pytest.mark.parametrize(
    "text,status,told",
    [
        ('{"issue": 4, "route-table": [], "service-table": []}', 0, None),
        ('{"issue": 0, "route-table": [], "service-table": []}', 65, "RoutingInvalid: issue"),
        ("{", 65, "RoutingInvalid"),
        (None, 65, "RoutingInvalid"),
    ],
)
def test_a_configuration_document_is_shown_as_it_becomes(tmp_path, monkeypatch, capsys, text, status, told):
    path = tmp_path / "document.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr("sys.argv", ["frostpost", "--routing", str(path)])
    monkeypatch.setattr(main, "disable_tls", lambda: None)
    assert main.main() == status
    out, err = capsys.readouterr()
    assert err.startswith(told) if told else json.decode(out)["version"] == 4
