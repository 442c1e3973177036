import pytest
from proxy_harness import ProxyHarness, make_route, make_runner
from twisted.web._newclient import ParseError

from frostpost.proxy.event_stream import EventParser
from frostpost.proxy.load_balancing import available_runners, candidates, count_ended, count_sent, pick_runner
from frostpost.proxy.outcomes import Broken, NotSent
from frostpost.proxy.response_parser import ResponseParser
from frostpost.proxy.routing import find_route, pick_service

WIRE = b"id: 1\ndata: a\ndata:  b\n\n:note\r\n\r\nid: 2\r\ndata:c\r\n\r\ndata: part"


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_events_are_read_whole_however_they_are_cut(step):
    parser, events = EventParser(), []
    for at in range(0, len(WIRE), step):
        events += parser.feed(WIRE[at : at + step])
    assert [(e.id, e.data) for e in events] == [("1", b"a\n b"), (None, None), ("2", b"c")]
    assert b"".join(e.raw for e in events) + parser.pending_bytes() == WIRE
    assert parser.pending_bytes() == b"data: part"


def test_the_longest_prefix_of_the_host_wins():
    harness = ProxyHarness(
        [make_route(prefix="/a/"), make_route(name="long", prefix="/a/b/"), make_route(host="other", prefix="/")]
    )
    assert find_route(harness.agent, "H:80", "/a/b/c").name == "long"
    assert find_route(harness.agent, "h", "/a/bc").prefix == "/a/"
    assert find_route(harness.agent, "h", "/b/c") is None
    assert find_route(harness.agent, "none", "/a/") is None


def test_services_are_picked_by_weight_and_the_same_way_again():
    route = make_route(weights=(("s", 1), ("t", 3)))
    harness = ProxyHarness([route])
    names = [pick_service(harness.agent.routing, route, f"a{i}").name for i in range(400)]
    assert names == [pick_service(harness.agent.routing, route, f"a{i}").name for i in range(400)]
    assert 240 < names.count("t") < 360


def test_the_least_loaded_runner_is_picked_and_full_ones_are_not():
    harness = ProxyHarness([make_route()], [make_runner("r1", slots=1), make_runner("r2", slots=4)])
    agent, service = harness.agent, harness.agent.routing.services["s"]
    count_sent(agent, agent.runners["r1"])
    assert pick_runner(agent, service).id == "r2"
    count_sent(agent, agent.runners["r1"])
    assert pick_runner(agent, service, tried=("r2",)) is None


def test_failing_runners_rest_but_never_more_than_half():
    harness = ProxyHarness([make_route()], [make_runner(f"r{i}") for i in range(4)] + [make_runner("d", draining=True)])
    agent, service = harness.agent, harness.agent.routing.services["s"]
    for i in range(3):
        count_sent(agent, agent.runners[f"r{i}"])
        count_ended(agent, agent.runners[f"r{i}"], Broken("x"), None)
    assert len(available_runners(agent, service)) == 2
    assert "r3" in [c.runner for c in candidates(agent, service)]
    assert "d" not in [c.runner for c in candidates(agent, service)]
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
def test_an_unclear_answer_is_none(head):
    parser = ResponseParser(False, None, None, None)
    parser.makeConnection(None)
    with pytest.raises(ParseError):
        parser.dataReceived(head)
