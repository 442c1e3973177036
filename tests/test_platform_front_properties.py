"""Guards against request smuggling: the front forwards only valid requests, and otherwise answers 4xx or closes."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from strict_http import ReadRequest, read_request, read_requests
from test_platform_front import FrontHarness

from frostpost.platform.runner_protocol import make_wire
from frostpost.proxy import failures
from frostpost.proxy.exchange import request_bytes
from frostpost.proxy.models import Runner
from frostpost.proxy.serve import is_unambiguous

BOUNDS = {"header_bytes": 600, "body_bytes": 64}
RUNNER = Runner(id="i-1", service="s", host="10.0.0.1", port=80, zone="z", slots=1)
PROPERTY_SETTINGS = settings(max_examples=500, deadline=None, derandomize=True)
TOKENS = st.text("abcXYZ0-_", min_size=1, max_size=8).map(str.encode)
VALUES = st.text('ab ,;=:/"\t\x80', max_size=12).map(lambda text: text.encode("latin-1"))
FRAGMENTS = st.sampled_from(
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
FRAGMENT_SEQUENCES = st.lists(FRAGMENTS, max_size=12).map(b"".join)
FRAMED_REQUESTS = st.tuples(st.lists(FRAGMENTS, max_size=4), st.lists(FRAGMENTS, max_size=5)).map(
    lambda fragments: b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n%s\r\n%s" % tuple(map(b"".join, fragments))
)
REQUEST_BYTES = st.one_of(FRAGMENT_SEQUENCES, FRAMED_REQUESTS, FRAMED_REQUESTS)


@st.composite
def valid_requests(draw):
    """Generate a valid request with a Content-Length, with chunks or without a body."""
    method, path = draw(st.sampled_from([b"GET", b"POST", b"PUT"])), b"/a/" + draw(TOKENS)
    fields = [(b"Host", b"h"), (b"X-Attempt-Id", draw(TOKENS))]
    names = draw(st.lists(TOKENS, max_size=3))
    fields += [(b"x-" + name, draw(VALUES)) for name in names]
    body = draw(st.binary(max_size=40))
    framing = draw(st.sampled_from(["length", "chunks", "none"]))
    if framing == "length":
        fields.append((b"Content-Length", b"%d" % len(body)))
        encoded_body = body
    elif framing == "chunks":
        split_offset = draw(st.integers(0, len(body)))
        fields.append((b"Transfer-Encoding", b"chunked"))
        encoded_body = (
            b"".join(
                b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in (body[:split_offset], body[split_offset:]) if chunk
            )
            + b"0\r\n\r\n"
        )
    else:
        encoded_body = b""
    lines = [b"%s %s HTTP/1.1" % (method, path), *(b"%s: %s" % field for field in fields)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + encoded_body


def split_at(data, offsets):
    """Split data at the offsets that lie inside it."""
    boundaries = [0, *sorted({offset for offset in offsets if 0 < offset < len(data)}), len(data)]
    return [data[start:end] for start, end in pairwise(boundaries)]


def send_pieces(pieces):
    """Send the pieces, failing every call, and return the harness and the response bytes."""
    harness = FrontHarness(**BOUNDS)
    serve = harness.server.handle

    def handle(request):
        call_count = len(harness.calls)
        serve(request)
        for _, sink in harness.calls[call_count:]:
            harness.clock.callLater(0, sink.fail, failures.NoRoute())

    harness.server.handle = handle
    for piece in pieces:
        if harness.transport.disconnecting or harness.transport.aborted:
            break
        harness.channel.dataReceived(piece)
        harness.clock.advance(0)
    response = b""
    while data := harness.take_response():
        response += data
    return harness, response


def forwarded_requests(harness):
    return [(call.method, call.uri, call.body) for call, _ in harness.calls]


@PROPERTY_SETTINGS
@given(st.lists(valid_requests(), min_size=1, max_size=3), st.lists(st.integers(0, 400), max_size=8))
def test_requests_are_parsed_across_any_boundaries(requests, offsets):
    data = b"".join(requests)
    at_once, response_at_once = send_pieces([data])
    in_pieces, response_in_pieces = send_pieces(split_at(data, offsets))
    assert forwarded_requests(at_once) == forwarded_requests(in_pieces) and len(at_once.calls) == len(requests)
    assert response_at_once == response_in_pieces and response_at_once.count(b"HTTP/1.1 404") == len(requests)


@PROPERTY_SETTINGS
@given(REQUEST_BYTES, st.lists(st.integers(0, 200), max_size=4))
def test_only_valid_requests_are_forwarded(data, offsets):
    harness, response = send_pieces(split_at(data, offsets))
    valid = [(parsed.method, parsed.target, parsed.body) for parsed in read_requests(data)]
    remaining = iter(valid)
    assert all(request in remaining for request in forwarded_requests(harness)), (valid, forwarded_requests(harness))
    for status in response.split(b"HTTP/1.1 ")[1:]:
        assert status[:3] in (b"404", b"400", b"408", b"413", b"431", b"100"), status


@PROPERTY_SETTINGS
@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=4))
def test_random_bytes_are_rejected_or_incomplete(data, offsets):
    harness, response = send_pieces(split_at(data, offsets))
    assert not harness.calls and response[:12] in (b"", b"HTTP/1.1 400", b"HTTP/1.1 431")


@PROPERTY_SETTINGS
@given(st.integers(0, 900), st.integers(0, 200), st.booleans())
def test_requests_beyond_the_bounds_are_rejected(header_size, body_size, chunked):
    head = b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Long: " + b"v" * header_size + b"\r\n"
    if chunked:
        data = (
            head
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + (b"%x\r\n%s\r\n" % (body_size, b"b" * body_size) if body_size else b"")
        )
        data += b"0\r\n\r\n"
    else:
        data = head + b"Content-Length: %d\r\n\r\n" % body_size + b"b" * body_size
    harness, response = send_pieces([data])
    size = len(head.replace(b"\r\n", b""))
    if body_size > BOUNDS["body_bytes"] or size > BOUNDS["header_bytes"]:
        assert (
            not harness.calls
            and response[:12] in (b"HTTP/1.1 431", b"HTTP/1.1 413")
            and response.count(b"HTTP/1.1 ") == 1
        )
    elif size < BOUNDS["header_bytes"] - 100:
        assert forwarded_requests(harness) == [(b"POST", b"/a/x", b"b" * body_size)]


@PROPERTY_SETTINGS
@given(REQUEST_BYTES)
def test_runner_receives_exactly_the_forwarded_request(data):
    harness, _ = send_pieces([data])
    for call, _ in harness.calls:
        if not is_unambiguous(call):
            continue
        request, end = read_request(serialized := request_bytes(make_wire(), RUNNER, call, call.body, 100))
        assert end == len(serialized)
        assert (request.method, request.target, request.body) == (call.method, call.uri, call.body)
        names = [name.lower() for name, _ in request.fields]
        assert names.count(b"x-attempt-id") == names.count(b"host") == names.count(b"x-target-instance") == 1


@PROPERTY_SETTINGS
@given(valid_requests())
def test_valid_request_reaches_a_runner_unchanged(data):
    sent_request, _ = read_request(data)
    harness, _ = send_pieces([data])
    ((call, _),) = harness.calls
    assert is_unambiguous(call)
    request, _ = read_request(request_bytes(make_wire(), RUNNER, call, call.body, 100))
    assert isinstance(request, ReadRequest)
    assert (request.method, request.target, request.body) == (
        sent_request.method,
        sent_request.target,
        sent_request.body,
    )
    for name, _ in sent_request.fields[1:]:
        if name.lower() not in (b"content-length", b"transfer-encoding"):
            assert values_of(request, name) == values_of(sent_request, name)


def values_of(request, name):
    return [value for field_name, value in request.fields if field_name.lower() == name.lower()]


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
def test_invalid_header_line_is_rejected(line):
    harness = FrontHarness()
    harness.channel.dataReceived(b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n" + line + b"\r\n\r\nhello")
    assert not harness.calls and harness.take_response()[:12] in (b"HTTP/1.1 400", b"HTTP/1.1 413", b"HTTP/1.1 431")
