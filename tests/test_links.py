"""Links between daemons: an attempt that began while the other end was dark is cut short when that end is heard."""

from types import SimpleNamespace

import pytest
from twisted.internet.interfaces import IWriteDescriptor
from twisted.internet.testing import MemoryReactorClock, StringTransport
from zope.interface import directlyProvides, providedBy

from frostpost.cluster.settings import DaemonSettings
from frostpost.daemon.context import TestHooks
from frostpost.daemon.frames import Links
from frostpost.virtual_synchrony.agent_messages import DirectoryRequest
from frostpost.virtual_synchrony.endpoints import Endpoint, Member

ADDRESS = ("10.0.0.2", 7380)
TO = "@10.0.0.2:7380"


def endpoint_of(incarnation=1):
    return Endpoint(Member("s2", incarnation), "storage", "z", *ADDRESS, 0)


@pytest.fixture
def links():
    reactor = MemoryReactorClock()
    settings = DaemonSettings("s1", "storage", "z", "10.0.0.1", 7380, detect_ms=500)
    endpoint = Endpoint(Member("s1", 1), "storage", "z", "10.0.0.1", 7380, 0)
    return Links(SimpleNamespace(reactor=reactor, settings=settings, endpoint=endpoint, counts={}, hooks=TestHooks()))


def dials(links):
    return [(host, port) for host, port, *_ in links.ctx.reactor.tcpClients]


def accept(links):
    """The newest attempt is answered; -> its transport."""
    factory = links.ctx.reactor.tcpClients[-1][2]
    protocol = factory.buildProtocol(None)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda on: None
    transport.abortConnection = lambda: protocol.connectionLost(None)
    protocol.makeConnection(transport)
    return transport


def refuse(links):
    from twisted.internet.error import ConnectionRefusedError
    from twisted.python.failure import Failure

    *_, factory, _, _ = links.ctx.reactor.tcpClients[-1]
    factory.clientConnectionFailed(links.ctx.reactor.connectors[-1], Failure(ConnectionRefusedError()))


def test_a_pending_attempt_is_begun_anew_once_the_other_end_is_heard(links):
    links(TO, DirectoryRequest())
    links.ctx.reactor.advance(0.3)
    links.heard(endpoint_of())
    links.ctx.reactor.advance(0.001)
    assert dials(links) == [ADDRESS, ADDRESS]
    assert links.ctx.reactor.connectors[0].stoppedConnecting


def test_an_attempt_just_begun_is_left_a_heartbeat(links):
    links(TO, DirectoryRequest())
    links.ctx.reactor.advance(0.02)
    for _ in range(5):
        links.heard(endpoint_of())
    links.ctx.reactor.advance(0.07)
    assert len(dials(links)) == 1
    links.ctx.reactor.advance(0.02)
    assert len(dials(links)) == 2


def test_hearing_again_and_again_over_a_one_way_cut_dials_no_more_often_than_heartbeats(links):
    links(TO, DirectoryRequest())
    for _ in range(100):
        links.ctx.reactor.advance(0.01)
        links.heard(endpoint_of())
    assert len(dials(links)) <= 11


def test_an_attempt_that_is_answered_in_time_is_kept(links):
    links(TO, DirectoryRequest())
    links.heard(endpoint_of())
    accept(links)
    links.ctx.reactor.advance(1)
    assert len(dials(links)) == 1


def test_the_rest_after_a_refusal_ends_when_the_other_end_is_heard(links):
    links(TO, DirectoryRequest())
    refuse(links)
    links(TO, DirectoryRequest())
    assert len(dials(links)) == 1
    links.ctx.reactor.advance(0.04)
    links.heard(endpoint_of())
    links.ctx.reactor.advance(0.061)
    assert len(dials(links)) == 2


def test_a_refused_link_is_tried_again_soon(links):
    links(TO, DirectoryRequest())
    refuse(links)
    links.ctx.reactor.advance(0.051)
    links(TO, DirectoryRequest())
    assert len(dials(links)) == 2


def test_a_connection_to_a_process_that_is_gone_is_dropped_when_its_successor_is_heard(links):
    links(TO, DirectoryRequest())
    accept(links)
    links.ctx.reactor.advance(0.1)
    links.heard(endpoint_of(incarnation=1))
    links.ctx.reactor.advance(0.7)
    links.heard(endpoint_of(incarnation=2))
    links.ctx.reactor.advance(0.001)
    assert len(dials(links)) == 2


def test_a_connection_that_may_be_to_the_successor_is_kept(links):
    links(TO, DirectoryRequest())
    links.heard(endpoint_of(incarnation=1))
    links.ctx.reactor.advance(0.05)
    accept(links)
    links.ctx.reactor.advance(0.7)
    links.heard(endpoint_of(incarnation=2))
    links.ctx.reactor.advance(0.2)
    assert len(dials(links)) == 1


def test_a_frame_from_where_nothing_is_sent_opens_no_link(links):
    links.heard(endpoint_of())
    links.ctx.reactor.advance(1)
    assert dials(links) == []


class Descriptor(StringTransport):
    """A transport that buffers what is written until it is told to hand it to the kernel."""

    def __init__(self):
        super().__init__()
        self.handed, self.calls = b"", 0

    def setTcpNoDelay(self, on):
        pass

    def doWrite(self):
        self.calls += 1
        self.handed = self.value()


def accept_descriptor(links):
    """The newest attempt is answered by a transport that is a write descriptor; -> the transport."""
    protocol, transport = links.ctx.reactor.tcpClients[-1][2].buildProtocol(None), Descriptor()
    directlyProvides(transport, IWriteDescriptor, *providedBy(transport))
    protocol.makeConnection(transport)
    return transport


def test_frames_are_handed_to_the_kernel_at_once_and_together(links):
    links(TO, DirectoryRequest())
    links(TO, DirectoryRequest())
    transport = accept_descriptor(links)
    assert transport.calls == 1 and transport.handed == transport.value() != b""
    links(TO, DirectoryRequest())
    assert transport.calls == 2 and transport.handed == transport.value()


def test_paused_transport_is_left_alone_until_it_goes_on(links):
    links(TO, DirectoryRequest())
    transport = accept_descriptor(links)
    transport.producer.pauseProducing()
    links(TO, DirectoryRequest())
    assert transport.calls == 1
    transport.producer.resumeProducing()
    assert transport.calls == 2 and transport.handed == transport.value()
    transport.producer.resumeProducing()
    assert transport.calls == 2
