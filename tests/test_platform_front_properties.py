"""How the front reads requests: whatever comes, it hands on proper requests, or answers 4xx, or closes."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from strict_http import ReadRequest, read_request, read_requests
from test_platform_front import Fleet

from frostpost.platform.runner_protocol import make_wire
from frostpost.proxy import failures
from frostpost.proxy.exchange import request_bytes
from frostpost.proxy.models import Runner
from frostpost.proxy.serve import is_unambiguous

BOUNDS = {"header_bytes": 600, "body_bytes": 64}
RUNNER = Runner(id="i-1", service="s", host="10.0.0.1", port=80, zone="z", slots=1)
QUICK = settings(max_examples=500, deadline=None, derandomize=True)
TOKENS = st.text("abcXYZ0-_", min_size=1, max_size=8).map(str.encode)
VALUES = st.text('ab ,;=:/"\t\x80', max_size=12).map(lambda text: text.encode("latin-1"))
PIECES = st.sampled_from(
    [
        b"GET",
        b"POST",
        b" ",
        b"/a/x",
        b"/a/x?y=1",
        b" HTTP/1.1",
        b" HTTP/1.0",
        b"\r\n",
        b"\r\n\r\n",
        b"\n",
        b"\r",
        b"\0",
        b"Host: h\r\n",
        b"Host : h\r\n",
        b"X-Attempt-Id: a1\r\n",
        b"X-Attempt-Id: a2\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 0\r\n",
        b"Content-Length: +5\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Content-Length:5 5\r\n",
        b"content-length: 3\r\n",
        b"Content-Length : 4\r\n",
        b" Content-Length: 4\r\n",
        b"Content-Length: 0x5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: Chunked \r\n",
        b"Transfer-Encoding: xchunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding:\r\n chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"\x0bTransfer-Encoding: chunked\r\n",
        b"Transfer_Encoding: chunked\r\n",
        b"TE: chunked\r\n",
        b"Connection: X-Attempt-Id, Content-Length\r\n",
        b"Expect: 100-continue\r\n",
        b"Upgrade: h2c\r\n",
        b"X: a\rb\r\n",
        b"X: a\nContent-Length: 9\r\n",
        b"X\r\n",
        b": x\r\n",
        b"X:\r\n",
        b"0\r\n\r\n",
        b"5\r\nhello\r\n",
        b'5;x="y"\r\nhello\r\n',
        b"-1\r\n",
        b"0x2\r\nab\r\n",
        b"fffffffffffffffff\r\n",
        b"2\r\nabc\r\n",
        b"hello",
        b"ab",
        b"GET /evil HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: evil\r\n\r\n",
    ]
)
GARBLED = st.lists(PIECES, max_size=12).map(b"".join)
FRAMED = st.tuples(st.lists(PIECES, max_size=4), st.lists(PIECES, max_size=5)).map(
    lambda parts: b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n%s\r\n%s" % tuple(map(b"".join, parts))
)
SHAPES = st.one_of(GARBLED, FRAMED, FRAMED)


@st.composite
def requests(draw):
    """A proper request with a length, with chunks, or without a body."""
    method, path = draw(st.sampled_from([b"GET", b"POST", b"PUT"])), b"/a/" + draw(TOKENS)
    fields = [(b"Host", b"h"), (b"X-Attempt-Id", draw(TOKENS))]
    names = draw(st.lists(TOKENS, max_size=3))
    fields += [(b"x-" + name, draw(VALUES)) for name in names]
    body = draw(st.binary(max_size=40))
    way = draw(st.sampled_from(["length", "chunks", "none"]))
    if way == "length":
        fields.append((b"Content-Length", b"%d" % len(body)))
        framed = body
    elif way == "chunks":
        at = draw(st.integers(0, len(body)))
        fields.append((b"Transfer-Encoding", b"chunked"))
        framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:at], body[at:]) if part) + b"0\r\n\r\n"
    else:
        framed = b""
    lines = [b"%s %s HTTP/1.1" % (method, path), *(b"%s: %s" % field for field in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + framed


def cut(data, places):
    """data in pieces, cut at the places that fall inside it."""
    edges = [0, *sorted({place for place in places if 0 < place < len(data)}), len(data)]
    return [data[at:end] for at, end in pairwise(edges)]


def fed(pieces):
    """(fleet, what was said) after a client sent these pieces; every call is answered with a failure at once."""
    fleet = Fleet(**BOUNDS)
    serve = fleet.server.handle

    def handle(request):
        before = len(fleet.calls)
        serve(request)
        for _, sink in fleet.calls[before:]:
            fleet.clock.callLater(0, sink.fail, failures.NoRoute())

    fleet.server.handle = handle
    for piece in pieces:
        if fleet.transport.disconnecting or fleet.transport.aborted:
            break
        fleet.channel.dataReceived(piece)
        fleet.clock.advance(0)
    said = b""
    while more := fleet.said():
        said += more
    return fleet, said


def handed(fleet):
    return [(call.method, call.uri, call.body) for call, _ in fleet.calls]


@QUICK
@given(st.lists(requests(), min_size=1, max_size=3), st.lists(st.integers(0, 400), max_size=8))
def test_requests_are_read_alike_however_they_are_cut(sent, places):
    data = b"".join(sent)
    whole, said_whole = fed([data])
    parts, said_parts = fed(cut(data, places))
    assert handed(whole) == handed(parts) and len(whole.calls) == len(sent)
    assert said_whole == said_parts and said_whole.count(b"HTTP/1.1 404") == len(sent)


@QUICK
@given(SHAPES, st.lists(st.integers(0, 200), max_size=4))
def test_only_proper_requests_are_handed_on(data, places):
    fleet, said = fed(cut(data, places))
    proper = [(r.method, r.target, r.body) for r in read_requests(data)]
    left = iter(proper)
    assert all(request in left for request in handed(fleet)), (proper, handed(fleet))
    for status in said.split(b"HTTP/1.1 ")[1:]:
        assert status[:3] in (b"404", b"400", b"408", b"413", b"431", b"100"), status


@QUICK
@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=4))
def test_noise_is_refused_or_waited_for(data, places):
    fleet, said = fed(cut(data, places))
    assert not fleet.calls and said[:12] in (b"", b"HTTP/1.1 400", b"HTTP/1.1 431")


@QUICK
@given(st.integers(0, 900), st.integers(0, 200), st.booleans())
def test_what_is_over_its_bounds_is_refused_and_never_handed_on(header, body, chunked):
    head = b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Long: " + b"v" * header + b"\r\n"
    if chunked:
        data = head + b"Transfer-Encoding: chunked\r\n\r\n" + (b"%x\r\n%s\r\n" % (body, b"b" * body) if body else b"")
        data += b"0\r\n\r\n"
    else:
        data = head + b"Content-Length: %d\r\n\r\n" % body + b"b" * body
    fleet, said = fed([data])
    size = len(head.replace(b"\r\n", b""))
    if body > BOUNDS["body_bytes"] or size > BOUNDS["header_bytes"]:
        assert not fleet.calls and said[:12] in (b"HTTP/1.1 431", b"HTTP/1.1 413") and said.count(b"HTTP/1.1 ") == 1
    elif size < BOUNDS["header_bytes"] - 100:
        assert handed(fleet) == [(b"POST", b"/a/x", b"b" * body)]


@QUICK
@given(SHAPES)
def test_a_runner_reads_exactly_the_request_that_was_handed_on(data):
    fleet, _ = fed([data])
    for call, _ in fleet.calls:
        if not is_unambiguous(call):
            continue
        request, end = read_request(written := request_bytes(make_wire(), RUNNER, call, call.body, 100))
        assert end == len(written)
        assert (request.method, request.target, request.body) == (call.method, call.uri, call.body)
        names = [name.lower() for name, _ in request.fields]
        assert names.count(b"x-attempt-id") == names.count(b"host") == names.count(b"x-target-instance") == 1


@QUICK
@given(requests())
def test_a_proper_request_reaches_a_runner_as_it_was_sent(data):
    sent, _ = read_request(data)
    fleet, _ = fed([data])
    ((call, _),) = fleet.calls
    assert is_unambiguous(call)
    request, _ = read_request(request_bytes(make_wire(), RUNNER, call, call.body, 100))
    assert isinstance(request, ReadRequest)
    assert (request.method, request.target, request.body) == (sent.method, sent.target, sent.body)
    for name, _ in sent.fields[1:]:
        if name.lower() not in (b"content-length", b"transfer-encoding"):
            assert values_of(request, name) == values_of(sent, name)


def values_of(request, name):
    return [value for other, value in request.fields if other.lower() == name.lower()]


@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length: " + b"9" * 5000,
        b"Content-Length: " + b"0" * 5000 + b"5",
        b"Host: h2",
        b"Transfer-Encoding: identity",
        b"Transfer-Encoding: identity\r\nContent-Length: 5",
    ],
)
def test_a_line_that_no_proper_request_has_ends_in_an_answer(line):
    fleet = Fleet()
    fleet.channel.dataReceived(b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n" + line + b"\r\n\r\nhello")
    assert not fleet.calls and fleet.said()[:12] in (b"HTTP/1.1 400", b"HTTP/1.1 413", b"HTTP/1.1 431")
