"""Trace log lines of attempts, and the --routing flag."""

import pytest
import yaml
from msgspec import json, msgpack, structs
from test_cluster_lease_client import new_agent
from test_platform_front import FrontHarness
from test_platform_settings import DOCUMENT
from twisted.internet.task import Clock

from frostpost.cluster import attempt_tracing, operation_client
from frostpost.platform import main, settings
from frostpost.program_ledger.messages import AttemptEnded, EndAttempt, ReadRouting
from frostpost.virtual_synchrony.agent_messages import OperationReply


@pytest.fixture
def lines(monkeypatch):
    recorded = []
    monkeypatch.setattr(
        attempt_tracing,
        "log_event",
        lambda kind, **fields: recorded.append((kind, fields["attempt"], fields["at"], fields)),
    )
    return recorded


@pytest.mark.parametrize("trace", [False, True])
def test_operations_are_traced_only_if_enabled(lines, trace):
    agent, results = new_agent(Clock()), []
    agent.settings = structs.replace(agent.settings, trace=trace)
    operation_client.call_replicas_unleased(agent, ReadRouting(), 100)
    operation_client.submit_until_decided(agent, EndAttempt("a", 3)).addCallback(results.append)
    operation_client.on_operation_reply(
        agent, OperationReply(agent.endpoint.member.incarnation, 2, msgpack.encode(AttemptEnded()))
    )
    assert results[0].ok == AttemptEnded()
    assert [line[:3] for line in lines] == [("trace", "a", "handed in"), ("trace", "a", "decided")][: 2 * trace]
    assert not trace or (lines[1][3]["operation"], lines[1][3]["verdict"]) == ("EndAttempt", "AttemptEnded")


@pytest.mark.parametrize("trace", [False, True])
def test_requests_are_traced_only_if_enabled(lines, trace):
    harness = FrontHarness()
    harness.agent.settings.trace = trace
    _, sink = harness.send()
    sink.head(200, [])
    sink.end()
    assert harness.take_response().startswith(b"HTTP/1.1 200") and harness.agent.open_requests == 0
    assert [line[:3] for line in lines] == [("trace", "a1", "taken"), ("trace", "a1", "answered")][: 2 * trace]
    assert not trace or (lines[1][3]["status"], lines[1][3]["lost"]) == (200, False)


def test_trace_setting_is_validated():
    document = yaml.safe_load(DOCUMENT)
    assert not settings.from_document(document).ok.trace
    assert settings.from_document({**document, "frostpost-trace": True}).ok.trace
    assert settings.from_document({**document, "frostpost-trace": "x"}).error.path == "frostpost-trace"


@pytest.mark.parametrize(
    "text,status,expected_error",
    [
        ('{"issue": 4, "route-table": [], "service-table": []}', 0, None),
        ('{"issue": 0, "route-table": [], "service-table": []}', 65, "RoutingInvalid: issue"),
        ("{", 65, "RoutingInvalid"),
        (None, 65, "RoutingInvalid"),
    ],
)
def test_routing_flag_prints_the_document_or_its_error(tmp_path, monkeypatch, capsys, text, status, expected_error):
    path = tmp_path / "document.json"
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr("sys.argv", ["frostpost", "--routing", str(path)])
    monkeypatch.setattr(main, "disable_tls", lambda: None)
    assert main.main() == status
    stdout, stderr = capsys.readouterr()
    assert stderr.startswith(expected_error) if expected_error else json.decode(stdout)["version"] == 4
