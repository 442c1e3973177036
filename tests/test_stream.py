import pytest
from expression import Error, Ok
from msgspec import json
from twisted.internet.defer import Deferred

from frostpost.daemon.context import Context
from frostpost.daemon.settings import Settings
from frostpost.http_api import errors, forward
from frostpost.http_api import stream as stream_module
from frostpost.http_api.calls import IN_FLIGHT_FRACTIONS, Call, filter_overload
from frostpost.ledger.entities import Runner
from frostpost.ledger.operations import Settle
from frostpost.ledger.results import Done, Reserved
from frostpost.tenant_config.instantiation import Route

RUNNER = Runner("r", "i", "127.0.0.1", 1, "pool", "a", 4)
SETTINGS = Settings("e1", "edge", "a", "127.0.0.1", 1, 2, ["127.0.0.1:1"], ["s1"])


class FakeRequest:
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


class PendingSubmits:
    def __init__(self):
        self.operations, self.results = [], []

    def __call__(self, ctx, operation, wait_ms):
        self.operations.append(operation)
        self.results.append(Deferred())
        return self.results[-1]


@pytest.fixture
def submits(monkeypatch):
    submits = PendingSubmits()
    monkeypatch.setattr(stream_module, "submit", submits)
    return submits


def create_stream(amount=3):
    call = Call("q", "turns", "t", "l", 0, document={"input": "in"}, request=FakeRequest())
    stream = stream_module.Stream(Context(SETTINGS, None, None), call, Reserved(7, RUNNER, amount, ()))
    stream.attempt = forward.Attempt(RUNNER)
    stream.stop_attempt = lambda reason: None
    return stream


def encode_piece(number, units=1):
    return json.encode({"n": number, "text": f"x{number}", "units": units}) + b"\n"


def test_last_piece_is_sent_after_the_settlement_is_recorded(submits):
    stream = create_stream()
    data = encode_piece(1) + encode_piece(2) + b'{"end": true}\n'
    for offset in range(0, len(data), 5):
        stream.on_data(data[offset : offset + 5])
    assert [line["piece"] for line in stream.call.request.lines] == [1]
    outcomes = []
    stream.close(None).addCallback(outcomes.append)
    assert (
        isinstance(submits.operations[0], Settle)
        and submits.operations[0].used == 2
        and submits.operations[0].line.output == "x1x2"
    )
    assert len(stream.call.request.lines) == 1 and outcomes == []
    submits.results[0].callback(Ok(Done(9)))
    assert outcomes == [None]
    assert stream.call.request.lines[1]["piece"] == 2 and stream.call.request.lines[2]["end"] is True


def test_undecided_settlement_returns_unknown(submits):
    stream, outcomes = create_stream(), []
    stream.on_data(encode_piece(1) + b'{"end": true}\n')
    stream.close(None).addCallback(outcomes.append)
    submits.results[0].callback(Error(errors.Undecided()))
    assert outcomes == [errors.Unknown()] and stream.call.request.lines == []


@pytest.mark.parametrize(
    "data,error",
    [
        (encode_piece(1) + encode_piece(3), errors.RunnerError),
        (encode_piece(1) + encode_piece(1), errors.RunnerError),
        (encode_piece(2), errors.RunnerError),
        (b"nonsense\n", errors.RunnerError),
        (encode_piece(1, 0), errors.RunnerError),
        (encode_piece(1, 4), errors.OutputCut),
        (encode_piece(1, 2) + encode_piece(2, 2), errors.OutputCut),
    ],
)
def test_invalid_output_is_cut_and_only_sent_units_are_spent(submits, data, error):
    stream, outcomes = create_stream(), []
    stream.on_data(data)
    assert isinstance(stream.stream_error, error)
    stream.close(forward.Broken("bad stream")).addCallback(outcomes.append)
    assert isinstance(outcomes[0], error)
    assert submits.operations[0] == Settle(7, sum(p["units"] for p in stream.call.request.lines), None)


def test_output_without_end_marker_returns_unknown(submits):
    stream, outcomes = create_stream(), []
    stream.on_data(encode_piece(1) + encode_piece(2))
    stream.close(None).addCallback(outcomes.append)
    assert outcomes == [errors.Unknown()] and submits.operations[0] == Settle(7, 1, None)


@pytest.mark.parametrize(
    "in_flight,lag_ms,refused_urgencies",
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
def test_less_urgent_calls_are_shed_first(in_flight, lag_ms, refused_urgencies):
    ctx = Context(SETTINGS, None, None)
    ctx.requests_in_flight, ctx.lag_ms = in_flight, lag_ms
    refused = set()
    for urgency in IN_FLIGHT_FRACTIONS:
        route = Route("t", "l", "turn", ("p",), "once", urgency, 1, 1, 1, 1, 1)
        error = filter_overload(ctx, Call("q", "turns", "t", "l", 0, route=route))
        if error is not None:
            assert errors.retry_after(error) == "1"
            refused.add(urgency)
    assert refused == refused_urgencies
