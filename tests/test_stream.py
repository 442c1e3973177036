import pytest
from expression import Error, Ok
from msgspec import json
from twisted.internet.defer import Deferred

from frostpost.daemon.context import Context
from frostpost.daemon.settings import Settings
from frostpost.http_api import errors, forward
from frostpost.http_api import stream as streams
from frostpost.http_api.calls import SHARES, Call, filter_crowd
from frostpost.ledger.entities import Runner
from frostpost.ledger.operations import Settle
from frostpost.ledger.results import Done, Reserved
from frostpost.tenant_config.instantiation import Route

RUNNER = Runner("r", "i", "127.0.0.1", 1, "pool", "a", 4)
SETTINGS = Settings("e1", "edge", "a", "127.0.0.1", 1, 2, ["127.0.0.1:1"], ["s1"])


class Request:
    def __init__(self):
        self.lines, self.headers, self.producer = [], {}, None

    def registerProducer(self, producer, streaming):
        assert self.producer is None
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def setHeader(self, name, value):
        self.headers[name] = value

    def write(self, data):
        self.lines += [json.decode(line) for line in data.splitlines()]


class Asks:
    def __init__(self):
        self.ops, self.answers = [], []

    def __call__(self, ctx, op, wait_ms):
        self.ops.append(op)
        self.answers.append(Deferred())
        return self.answers[-1]


@pytest.fixture
def asks(monkeypatch):
    asks = Asks()
    monkeypatch.setattr(streams, "submit", asks)
    return asks


def stream(amount=3):
    call = Call("q", "turns", "t", "l", 0, document={"input": "in"}, request=Request())
    found = streams.Stream(Context(SETTINGS, None, None), call, Reserved(7, RUNNER, amount, ()))
    found.attempt = forward.Attempt(RUNNER)
    found.stop = lambda reason: None
    return found


def piece(n, units=1):
    return json.encode({"n": n, "text": f"x{n}", "units": units}) + b"\n"


def test_the_last_piece_waits_for_the_ledger(asks):
    found = stream()
    data = piece(1) + piece(2) + b'{"end": true}\n'
    for at in range(0, len(data), 5):
        found.hear(data[at : at + 5])
    assert [line["piece"] for line in found.call.request.lines] == [1]
    box = []
    found.close(None).addCallback(box.append)
    assert isinstance(asks.ops[0], Settle) and asks.ops[0].used == 2 and asks.ops[0].line.output == "x1x2"
    assert len(found.call.request.lines) == 1 and box == []
    asks.answers[0].callback(Ok(Done(9)))
    assert box == [None]
    assert found.call.request.lines[1]["piece"] == 2 and found.call.request.lines[2]["end"] is True


def test_an_undecided_end_is_told_as_unknown(asks):
    found, box = stream(), []
    found.hear(piece(1) + b'{"end": true}\n')
    found.close(None).addCallback(box.append)
    asks.answers[0].callback(Error(errors.Undecided()))
    assert box == [errors.Unknown()] and found.call.request.lines == []


@pytest.mark.parametrize(
    "data,error",
    [
        (piece(1) + piece(3), errors.RunnerError),
        (piece(1) + piece(1), errors.RunnerError),
        (piece(2), errors.RunnerError),
        (b"nonsense\n", errors.RunnerError),
        (piece(1, 0), errors.RunnerError),
        (piece(1, 4), errors.OutputCut),
        (piece(1, 2) + piece(2, 2), errors.OutputCut),
    ],
)
def test_a_wrong_stream_is_cut_and_only_what_was_handed_out_is_spent(asks, data, error):
    found, box = stream(), []
    found.hear(data)
    assert isinstance(found.bad, error)
    found.close(forward.Broken("bad stream")).addCallback(box.append)
    assert isinstance(box[0], error)
    assert asks.ops[0] == Settle(7, sum(p["units"] for p in found.call.request.lines), None)


def test_a_stream_without_its_end_is_unknown(asks):
    found, box = stream(), []
    found.hear(piece(1) + piece(2))
    found.close(None).addCallback(box.append)
    assert box == [errors.Unknown()] and asks.ops[0] == Settle(7, 1, None)


@pytest.mark.parametrize(
    "flights,lag_ms,refused",
    [
        (0, 5000, set()),
        (30, 0, set()),
        (30, 40, {"batch"}),
        (30, 70, {"batch", "normal"}),
        (30, 300, {"batch", "normal", "urgent"}),
        (250, 0, {"batch"}),
        (330, 0, {"batch", "normal"}),
        (400, 0, {"batch", "normal", "urgent"}),
    ],
)
def test_urgent_calls_are_shed_last(flights, lag_ms, refused):
    ctx = Context(SETTINGS, None, None)
    ctx.requests_in_flight, ctx.lag_ms = flights, lag_ms
    seen = set()
    for urgency in SHARES:
        route = Route("t", "l", "turn", ("p",), "once", urgency, 1, 1, 1, 1, 1)
        error = filter_crowd(ctx, Call("q", "turns", "t", "l", 0, route=route))
        if error is not None:
            assert errors.retry_after(error) == "1"
            seen.add(urgency)
    assert seen == refused
