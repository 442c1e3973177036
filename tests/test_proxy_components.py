import pytest
from proxy_harness import ProxyHarness, make_route, make_runner
from twisted.web._newclient import ParseError

from frostpost.proxy.event_stream import EventParser
from frostpost.proxy.load_balancing import available_runners, candidates, count_ended, count_sent, pick_runner
from frostpost.proxy.outcomes import Broken, NotSent
from frostpost.proxy.response_parser import ResponseParser
from frostpost.proxy.routing import find_route, pick_service

EVENT_BYTES = b"id: 1\ndata: a\ndata:  b\n\n:note\r\n\r\nid: 2\r\ndata:c\r\n\r\ndata: part"


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 7, 1000])
def test_events_are_parsed_across_any_chunk_boundaries(chunk_size):
    parser, events = EventParser(), []
    for offset in range(0, len(EVENT_BYTES), chunk_size):
        events += parser.feed(EVENT_BYTES[offset : offset + chunk_size])
    assert [(event.id, event.data) for event in events] == [("1", b"a\n b"), (None, None), ("2", b"c")]
    assert b"".join(event.raw for event in events) + parser.pending_bytes() == EVENT_BYTES
    assert parser.pending_bytes() == b"data: part"


def test_longest_matching_prefix_is_selected():
    harness = ProxyHarness(
        [make_route(prefix="/a/"), make_route(name="long", prefix="/a/b/"), make_route(host="other", prefix="/")]
    )
    assert find_route(harness.agent, "H:80", "/a/b/c").name == "long"
    assert find_route(harness.agent, "h", "/a/bc").prefix == "/a/"
    assert find_route(harness.agent, "h", "/b/c") is None
    assert find_route(harness.agent, "none", "/a/") is None


def test_service_choice_is_weighted_and_deterministic():
    route = make_route(weights=(("s", 1), ("t", 3)))
    harness = ProxyHarness([route])
    names = [pick_service(harness.agent.routing, route, f"a{number}").name for number in range(400)]
    assert names == [pick_service(harness.agent.routing, route, f"a{number}").name for number in range(400)]
    assert 240 < names.count("t") < 360


def test_least_loaded_runner_with_a_free_slot_is_picked():
    harness = ProxyHarness([make_route()], [make_runner("r1", slots=1), make_runner("r2", slots=4)])
    agent, service = harness.agent, harness.agent.routing.services["s"]
    count_sent(agent, agent.runners["r1"])
    assert pick_runner(agent, service).id == "r2"
    count_sent(agent, agent.runners["r1"])
    assert pick_runner(agent, service, tried=("r2",)) is None


def test_at_most_half_of_the_runners_are_ejected():
    harness = ProxyHarness(
        [make_route()], [make_runner(f"r{number}") for number in range(4)] + [make_runner("d", draining=True)]
    )
    agent, service = harness.agent, harness.agent.routing.services["s"]
    for number in range(3):
        count_sent(agent, agent.runners[f"r{number}"])
        count_ended(agent, agent.runners[f"r{number}"], Broken("x"), None)
    assert len(available_runners(agent, service)) == 2
    assert "r3" in [candidate.runner for candidate in candidates(agent, service)]
    assert "d" not in [candidate.runner for candidate in candidates(agent, service)]
    count_sent(agent, agent.runners["r3"])
    count_ended(agent, agent.runners["r3"], NotSent("lease"), None)
    assert agent.loads["r3"].ejected_until_ms == 0


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"garbage\r\n\r\n",
    ],
)
def test_ambiguous_response_is_rejected(head):
    parser = ResponseParser(False, None, None, None)
    parser.makeConnection(None)
    with pytest.raises(ParseError):
        parser.dataReceived(head)
