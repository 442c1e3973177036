"""Property tests of response parsing: only complete responses to the own request are forwarded as complete."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from proxy_harness import ProxyHarness, make_route, make_runner

from frostpost.proxy import failures
from frostpost.proxy.response_parser import InvalidResponseError, ResponseParser

PROPERTY_SETTINGS = settings(max_examples=400, deadline=None, derandomize=True)
NAMES = st.text("abcXYZ09-_", min_size=1, max_size=6).map(lambda text: b"x-" + text.encode())
VALUES = st.text('ab ,;=:"\x80', max_size=10).map(lambda text: text.strip().encode("latin-1"))
FRAGMENTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 503 Full\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Up\r\n",
        b"HTTP/1.1 204 No\r\n",
        b"HTTP/2 200\r\n",
        b"HTTP/1.1 20\r\n",
        b"HTTP/1.1 +20 OK\r\n",
        b"Attempt: a1\r\n",
        b"Attempt: a0\r\n",
        b"Seal: x\r\n",
        b"Not-Run: 1\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 4\r\n",
        b"Content-Length: +3\r\n",
        b"Content-Length: 3, 3\r\n",
        b"Content-Length : 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Content-Encoding: gzip\r\n",
        b"Connection: close\r\n",
        b" folded\r\n",
        b"X: a\rb\r\n",
        b"X: \0\r\n",
        b"X\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b"\0",
        b"out",
        b"3\r\nout\r\n",
        b"3;e=1\r\nout\r\n",
        b"0\r\n\r\n",
        b"0\r\nT: 1\r\n\r\n",
        b"-3\r\nout\r\n",
        b"ffffffffffffffffffff\r\n",
        b"3\r\noutout\r\n",
    ]
)
FRAGMENT_SEQUENCES = st.lists(FRAGMENTS, max_size=12).map(b"".join)
FRAMED_RESPONSES = st.tuples(st.lists(FRAGMENTS, max_size=4), st.lists(FRAGMENTS, max_size=4)).map(
    lambda parts: b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: x\r\n%s\r\n%s" % tuple(map(b"".join, parts))
)
RESPONSE_BYTES = st.one_of(FRAGMENT_SEQUENCES, FRAMED_RESPONSES, FRAMED_RESPONSES, st.binary(max_size=200))
OFFSETS = st.lists(st.integers(0, 300), max_size=6)


def split_at(data, offsets):
    """Split data at the offsets that fall inside it."""
    boundaries = [0, *sorted({offset for offset in offsets if 0 < offset < len(data)}), len(data)]
    return [data[start:end] for start, end in pairwise(boundaries)]


def parse_response(pieces):
    """Return the heads, the body, the surplus bytes (None while incomplete) and whether the input was rejected."""
    heads, body, after_end = [], [], []
    parser = ResponseParser(False, lambda *head: heads.append(head), body.append, after_end.append)
    parser.makeConnection(None)
    for piece in pieces:
        if after_end:
            after_end.append(piece)
            continue
        try:
            parser.read(piece)
        except InvalidResponseError:
            return heads, b"".join(body), b"".join(after_end) if after_end else None, True
    return heads, b"".join(body), b"".join(after_end) if after_end else None, False


@st.composite
def valid_responses(draw):
    """Generate the bytes, headers and body of a valid response with either body framing."""
    fields = [(b"Attempt", b"a1"), (b"Seal", b"x"), *draw(st.lists(st.tuples(NAMES, VALUES), max_size=3))]
    body = draw(st.binary(max_size=60))
    if draw(st.booleans()):
        fields.append((b"Content-Length", b"%d" % len(body)))
        framed = body
    else:
        fields.append((b"Transfer-Encoding", b"chunked"))
        extension, trailer = draw(st.sampled_from([b"", b";a=b"])), draw(st.sampled_from([b"", b"T: 1\r\n"]))
        pieces = [piece for piece in split_at(body, draw(OFFSETS)) if piece]
        framed = b"".join(b"%x%s\r\n%s\r\n" % (len(piece), extension, piece) for piece in pieces)
        framed += b"0\r\n" + trailer + b"\r\n"
    head = b"\r\n".join([b"HTTP/1.1 200 OK", *(b"%s: %s" % field for field in fields)])
    return head + b"\r\n\r\n" + framed, fields, body


@PROPERTY_SETTINGS
@given(valid_responses(), OFFSETS, st.binary(max_size=20))
def test_valid_response_is_parsed_across_any_boundaries(response, offsets, surplus):
    data, fields, body = response
    heads, parsed_body, after_end, rejected = parse_response(split_at(data + surplus, offsets))
    assert heads == [(200, fields)] and parsed_body == body and after_end == surplus and not rejected


@PROPERTY_SETTINGS
@given(valid_responses(), st.integers(1, 500), OFFSETS)
def test_truncated_response_is_never_complete(response, removed, offsets):
    data = response[0][:-removed]
    assert parse_response(split_at(data, offsets))[2] is None


@PROPERTY_SETTINGS
@given(RESPONSE_BYTES, OFFSETS)
def test_parse_result_is_independent_of_boundaries(data, offsets):
    at_once, in_pieces = parse_response([data]), parse_response(split_at(data, offsets))
    assert at_once[0] == in_pieces[0] and at_once[2:] == in_pieces[2:]
    assert at_once[1] == in_pieces[1] or at_once[3]


@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
def test_client_gets_only_a_response_of_its_own_request_or_a_failure(monkeypatch, kind):
    @PROPERTY_SETTINGS
    @given(RESPONSE_BYTES, OFFSETS)
    def check(data, offsets):
        with pytest.MonkeyPatch.context() as patch:
            harness = ProxyHarness([make_route(kind=kind)], [make_runner("r1")], patch)
            harness.serve()
            connection = harness.accept_connection()
            for piece in split_at(data, offsets):
                if not connection.unusable and not connection.lost:
                    connection.dataReceived(piece)
            harness.reactor.advance(4.1)
        heads, body, surplus, _ = parse_response([data])
        client_events = harness.client_events
        if isinstance(client_events[0], tuple):
            assert client_events[0][1] == heads[0][0] and is_response_of_attempt(heads[0])
            received = b"".join(item[1] for item in client_events[1:] if isinstance(item, tuple))
            assert body.startswith(received)
            assert client_events[-1] == "cut" or client_events[-1] == "end" and received == body and surplus is not None
        else:
            assert (
                type(client_events[0]) in (failures.Unknown, failures.TimedOut, failures.Overloaded)
                and len(client_events) == 1
            )
            assert not isinstance(client_events[0], failures.Overloaded) or is_refusal(heads[0])

    check()


def is_response_of_attempt(head):
    status, fields = head
    values = {name.lower(): value for name, value in fields}
    sealed = not 200 <= status < 300 or b"seal" in values
    return values.get(b"attempt") == b"a1" and sealed and b"content-encoding" not in values


def is_refusal(head):
    status, fields = head
    values = {name.lower(): value for name, value in fields}
    return (b"not-run" in values or status == 421) and values.get(b"attempt", b"a1") == b"a1"
