"""Links between daemons: frames from a peer restart connection attempts to it that began while it was unreachable."""

from types import SimpleNamespace

import pytest
from twisted.internet.interfaces import IWriteDescriptor
from twisted.internet.testing import MemoryReactorClock, StringTransport
from zope.interface import directlyProvides, providedBy

from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon import outgoing_link
from frostpost.daemon.context import TestHooks
from frostpost.daemon.frames import Links, decode
from frostpost.virtual_synchrony.agent_messages import DirectoryRequest, RoutingUpdate
from frostpost.virtual_synchrony.endpoints import Endpoint, Member

ADDRESS = ("10.0.0.2", 7380)
TO = "@10.0.0.2:7380"


def make_endpoint(incarnation=1):
    return Endpoint(Member("s2", incarnation), "storage", "z", *ADDRESS, 0)


@pytest.fixture
def links():
    reactor = MemoryReactorClock()
    settings = DaemonSettings("s1", "storage", "z", "10.0.0.1", 7380, detect_ms=500)
    endpoint = Endpoint(Member("s1", 1), "storage", "z", "10.0.0.1", 7380, 0)
    return Links(SimpleNamespace(reactor=reactor, settings=settings, endpoint=endpoint, counts={}, hooks=TestHooks()))


def attempted_addresses(links):
    return [(host, port) for host, port, *_ in links.ctx.reactor.tcpClients]


def accept(links):
    """Accept the newest connection attempt; return its transport."""
    factory = links.ctx.reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda on: None
    transport.abortConnection = lambda: protocol.connectionLost(None)
    protocol.makeConnection(transport)
    return transport


def refuse(links):
    """Refuse the newest connection attempt."""
    from twisted.internet.error import ConnectionRefusedError
    from twisted.python.failure import Failure

    *_, factory, _, _ = links.ctx.reactor.tcpClients[-1]
    factory.clientConnectionFailed(links.ctx.reactor.connectors[-1], Failure(ConnectionRefusedError()))


def test_frame_from_peer_restarts_pending_attempt(links):
    links(TO, DirectoryRequest())
    links.ctx.reactor.advance(0.3)
    links.on_peer_heard(make_endpoint())
    links.ctx.reactor.advance(0.001)
    assert attempted_addresses(links) == [ADDRESS, ADDRESS]
    assert links.ctx.reactor.connectors[0].stoppedConnecting


def test_recent_attempt_is_not_restarted_before_minimum_interval(links):
    links(TO, DirectoryRequest())
    links.ctx.reactor.advance(0.02)
    for _ in range(5):
        links.on_peer_heard(make_endpoint())
    links.ctx.reactor.advance(0.07)
    assert len(attempted_addresses(links)) == 1
    links.ctx.reactor.advance(0.02)
    assert len(attempted_addresses(links)) == 2


def test_attempts_are_rate_limited_while_only_incoming_frames_arrive(links):
    links(TO, DirectoryRequest())
    for _ in range(100):
        links.ctx.reactor.advance(0.01)
        links.on_peer_heard(make_endpoint())
    assert len(attempted_addresses(links)) <= 11


def test_accepted_connection_is_not_restarted(links):
    links(TO, DirectoryRequest())
    links.on_peer_heard(make_endpoint())
    accept(links)
    links.ctx.reactor.advance(1)
    assert len(attempted_addresses(links)) == 1


def test_frame_from_peer_ends_backoff_after_refusal(links):
    links(TO, DirectoryRequest())
    refuse(links)
    links(TO, DirectoryRequest())
    assert len(attempted_addresses(links)) == 1
    links.ctx.reactor.advance(0.04)
    links.on_peer_heard(make_endpoint())
    links.ctx.reactor.advance(0.061)
    assert len(attempted_addresses(links)) == 2


def test_refused_link_reconnects_after_backoff(links):
    links(TO, DirectoryRequest())
    refuse(links)
    links.ctx.reactor.advance(0.051)
    links(TO, DirectoryRequest())
    assert len(attempted_addresses(links)) == 2


def test_connection_to_earlier_process_is_dropped_when_new_process_sends_frame(links):
    links(TO, DirectoryRequest())
    accept(links)
    links.ctx.reactor.advance(0.1)
    links.on_peer_heard(make_endpoint(incarnation=1))
    links.ctx.reactor.advance(0.7)
    links.on_peer_heard(make_endpoint(incarnation=2))
    links.ctx.reactor.advance(0.001)
    assert len(attempted_addresses(links)) == 2


def test_connection_opened_after_last_frame_of_earlier_process_is_kept(links):
    links(TO, DirectoryRequest())
    links.on_peer_heard(make_endpoint(incarnation=1))
    links.ctx.reactor.advance(0.05)
    accept(links)
    links.ctx.reactor.advance(0.7)
    links.on_peer_heard(make_endpoint(incarnation=2))
    links.ctx.reactor.advance(0.2)
    assert len(attempted_addresses(links)) == 1


def test_frame_from_peer_without_link_opens_none(links):
    links.on_peer_heard(make_endpoint())
    links.ctx.reactor.advance(1)
    assert attempted_addresses(links) == []


class BufferingTransport(StringTransport):
    """A transport that buffers data until `doWrite` writes it to the socket."""

    def __init__(self):
        super().__init__()
        self.written, self.write_calls = b"", 0

    def setTcpNoDelay(self, on):
        pass

    def doWrite(self):
        self.write_calls += 1
        self.written = self.value()


def accept_buffering(links):
    """Accept the newest connection attempt with a BufferingTransport; return it."""
    protocol, transport = links.ctx.reactor.tcpClients[-1][2].buildProtocol(None), BufferingTransport()
    directlyProvides(transport, IWriteDescriptor, *providedBy(transport))
    protocol.makeConnection(transport)
    return transport


def test_queued_frames_are_written_immediately_in_one_call(links):
    links(TO, DirectoryRequest())
    links(TO, DirectoryRequest())
    transport = accept_buffering(links)
    assert transport.write_calls == 1 and transport.written == transport.value() != b""
    links(TO, DirectoryRequest())
    assert transport.write_calls == 2 and transport.written == transport.value()


def test_paused_transport_is_not_written_until_resumed(links):
    links(TO, DirectoryRequest())
    transport = accept_buffering(links)
    transport.producer.pauseProducing()
    links(TO, DirectoryRequest())
    assert transport.write_calls == 1
    transport.producer.resumeProducing()
    assert transport.write_calls == 2 and transport.written == transport.value()
    transport.producer.resumeProducing()
    assert transport.write_calls == 2


class SizedMessage(DirectoryRequest, frozen=True, array_like=True, tag=90):
    """A message of any size."""

    data: bytes


def frames_in(transport):
    data, frames = transport.value(), []
    while data:
        length = int.from_bytes(data[:4], "big")
        frames.append(data[4 : 4 + length])
        data = data[4 + length :]
    return frames


def logged_drops(monkeypatch):
    events = []
    monkeypatch.setattr(outgoing_link, "log_event", lambda kind, **fields: events.append((kind, fields)))
    return events


def test_frame_larger_than_the_queue_is_sent(links):
    """Guards against review/1: a frame above the queue's bound was dropped however often it was repeated."""
    links(TO, SizedMessage(b"x" * 2 * outgoing_link.MAX_QUEUE_BYTES))
    transport = accept(links)
    assert [len(frame) > 2 * outgoing_link.MAX_QUEUE_BYTES for frame in frames_in(transport)] == [True]
    assert links.ctx.counts == {}


def test_frames_dropped_by_a_full_queue_are_counted_and_logged_once_in_a_while(links, monkeypatch):
    events = logged_drops(monkeypatch)
    for _ in range(4):
        links(TO, SizedMessage(b"x" * (outgoing_link.MAX_QUEUE_BYTES // 2)))
    assert links.ctx.counts == {"link_full": 2}
    assert [(kind, fields["to"], fields["dropped"]) for kind, fields in events] == [
        ("FrameDropped", "10.0.0.2:7380", 1)
    ]
    links.ctx.reactor.advance(outgoing_link.DROP_LOG_INTERVAL_S)
    links(TO, SizedMessage(b"x" * outgoing_link.MAX_QUEUE_BYTES))
    assert len(events) == 2 and links.ctx.counts == {"link_full": 3}


def test_frame_that_no_receiver_takes_is_dropped_and_logged(links, monkeypatch):
    events = logged_drops(monkeypatch)
    monkeypatch.setattr(outgoing_link, "MAX_FRAME_BYTES", 1000)
    links(TO, SizedMessage(b"x" * 1000))
    links(TO, DirectoryRequest())
    assert len(frames_in(accept(links))) == 1
    assert [fields["bytes"] > 1000 for _, fields in events] == [True]


def test_large_frame_is_handed_to_the_transport_in_chunks_and_arrives_whole(links):
    data = bytes(range(256)) * 4096
    links(TO, SizedMessage(data))
    links(TO, DirectoryRequest())
    transport = accept_buffering(links)
    written, chunks = transport.write, []

    def write_and_pause(chunk):
        chunks.append(len(chunk))
        written(chunk)
        transport.producer.pauseProducing()

    large, small = frames_in(transport)
    assert data in large and len(small) < 200
    transport.write = write_and_pause
    links(TO, SizedMessage(data))
    for _ in range(20):
        transport.producer.resumeProducing()
    assert frames_in(transport) == [large, small, large]
    assert max(chunks) <= outgoing_link.WRITE_CHUNK_BYTES + 4 and len(chunks) >= len(data) // max(chunks)


def test_connection_lost_within_a_large_frame_leaves_no_rest_of_it_for_the_next(links):
    links(TO, SizedMessage(b"x" * 4 * outgoing_link.WRITE_CHUNK_BYTES))
    protocol, transport = links.ctx.reactor.tcpClients[-1][2].buildProtocol(None), StringTransport()
    transport.setTcpNoDelay = lambda on: None
    written = transport.write
    transport.write = lambda chunk: (written(chunk), transport.producer.pauseProducing())
    protocol.makeConnection(transport)
    assert 0 < len(transport.value()) < 2 * outgoing_link.WRITE_CHUNK_BYTES
    protocol.connectionLost(None)
    links(TO, DirectoryRequest())
    links.ctx.reactor.advance(1)
    links(TO, DirectoryRequest())
    assert [len(frame) < 200 for frame in frames_in(accept(links))] == [True, True]


def test_update_for_all_agents_is_encoded_once(links):
    update = RoutingUpdate(3, b"x" * 1000)
    frames = [links.encode_frame("", update) for _ in range(3)]
    assert frames[0] is frames[1] is frames[2]
    assert links.encode_frame("", RoutingUpdate(4, b"y")) != frames[0]
    assert decode(frames[0]).body == update


def test_links_that_dropped_frames_recently_are_told(links, monkeypatch):
    monkeypatch.setattr(outgoing_link, "MAX_QUEUE_BYTES", 10)
    for _ in range(3):
        links(TO, DirectoryRequest())
    assert links.recent_drops(10) == {"10.0.0.2:7380": 2}
    links.ctx.reactor.advance(11)
    assert links.recent_drops(10) == {}
