"""Properties of how answers of runners are read: only a whole answer of the call's own run is handed on as whole."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from proxy_harness import ProxyHarness, make_route, make_runner

from frostpost.proxy import failures
from frostpost.proxy.response_parser import InvalidResponseError, ResponseParser

QUICK = settings(max_examples=400, deadline=None, derandomize=True)
NAMES = st.text("abcXYZ09-_", min_size=1, max_size=6).map(lambda text: b"x-" + text.encode())
VALUES = st.text('ab ,;=:"\x80', max_size=10).map(lambda text: text.strip().encode("latin-1"))
PIECES = st.sampled_from(
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
GARBLED = st.lists(PIECES, max_size=12).map(b"".join)
FRAMED = st.tuples(st.lists(PIECES, max_size=4), st.lists(PIECES, max_size=4)).map(
    lambda parts: b"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSeal: x\r\n%s\r\n%s" % tuple(map(b"".join, parts))
)
SHAPES = st.one_of(GARBLED, FRAMED, FRAMED, st.binary(max_size=200))
PLACES = st.lists(st.integers(0, 300), max_size=6)


def cut(data, places):
    """data in pieces, cut at the places that fall inside it."""
    edges = [0, *sorted({place for place in places if 0 < place < len(data)}), len(data)]
    return [data[at:end] for at, end in pairwise(edges)]


def parsed(pieces):
    """(head, body, surplus or None while it is not whole, whether it was refused)."""
    heads, body, rest = [], [], []
    parser = ResponseParser(False, lambda *head: heads.append(head), body.append, rest.append)
    parser.makeConnection(None)
    for piece in pieces:
        if rest:
            rest.append(piece)
            continue
        try:
            parser.read(piece)
        except InvalidResponseError:
            return heads, b"".join(body), b"".join(rest) if rest else None, True
    return heads, b"".join(body), b"".join(rest) if rest else None, False


@st.composite
def answers(draw):
    """(bytes, fields, body) of a proper answer, with a length or in chunks."""
    fields = [(b"Attempt", b"a1"), (b"Seal", b"x"), *draw(st.lists(st.tuples(NAMES, VALUES), max_size=3))]
    body = draw(st.binary(max_size=60))
    if draw(st.booleans()):
        fields.append((b"Content-Length", b"%d" % len(body)))
        framed = body
    else:
        fields.append((b"Transfer-Encoding", b"chunked"))
        extension, trailer = draw(st.sampled_from([b"", b";a=b"])), draw(st.sampled_from([b"", b"T: 1\r\n"]))
        pieces = [piece for piece in cut(body, draw(PLACES)) if piece]
        framed = b"".join(b"%x%s\r\n%s\r\n" % (len(piece), extension, piece) for piece in pieces)
        framed += b"0\r\n" + trailer + b"\r\n"
    head = b"\r\n".join([b"HTTP/1.1 200 OK", *(b"%s: %s" % field for field in fields)])
    return head + b"\r\n\r\n" + framed, fields, body


@QUICK
@given(answers(), PLACES, st.binary(max_size=20))
def test_a_proper_answer_is_read_whole_however_it_is_cut(answer, places, surplus):
    data, fields, body = answer
    heads, read, rest, refused = parsed(cut(data + surplus, places))
    assert heads == [(200, fields)] and read == body and rest == surplus and not refused


@QUICK
@given(answers(), st.integers(1, 500), PLACES)
def test_a_part_of_an_answer_is_never_whole(answer, less, places):
    data = answer[0][:-less]
    assert parsed(cut(data, places))[2] is None


@QUICK
@given(SHAPES, PLACES)
def test_any_bytes_are_read_alike_however_they_are_cut(data, places):
    whole, parts = parsed([data]), parsed(cut(data, places))
    assert whole[0] == parts[0] and whole[2:] == parts[2:]
    assert whole[1] == parts[1] or whole[3]


@pytest.mark.parametrize("kind", ["unsafe", "streaming"])
def test_whatever_a_runner_sends_its_client_gets_an_answer_of_its_run_or_a_failure(monkeypatch, kind):
    @QUICK
    @given(SHAPES, PLACES)
    def holds(data, places):
        with pytest.MonkeyPatch.context() as patch:
            harness = ProxyHarness([make_route(kind=kind)], [make_runner("r1")], patch)
            harness.serve()
            connection = harness.accept_connection()
            for piece in cut(data, places):
                if not connection.unusable and not connection.lost:
                    connection.dataReceived(piece)
            harness.reactor.advance(4.1)
        heads, body, rest, _ = parsed([data])
        seen = harness.client_events
        if isinstance(seen[0], tuple):
            assert seen[0][1] == heads[0][0] and is_own(heads[0])
            got = b"".join(item[1] for item in seen[1:] if isinstance(item, tuple))
            assert body.startswith(got)
            assert seen[-1] == "cut" or seen[-1] == "end" and got == body and rest is not None
        else:
            assert type(seen[0]) in (failures.Unknown, failures.TimedOut, failures.Overloaded) and len(seen) == 1
            assert not isinstance(seen[0], failures.Overloaded) or is_refusal(heads[0])

    holds()


def is_own(head):
    status, fields = head
    values = {name.lower(): value for name, value in fields}
    sealed = not 200 <= status < 300 or b"seal" in values
    return values.get(b"attempt") == b"a1" and sealed and b"content-encoding" not in values


def is_refusal(head):
    status, fields = head
    values = {name.lower(): value for name, value in fields}
    return (b"not-run" in values or status == 421) and values.get(b"attempt", b"a1") == b"a1"
