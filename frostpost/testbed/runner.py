"""A stand-in runner with a prefix cache, failure modes and a load report."""

from random import Random

from klein import Klein
from msgspec import Struct, json
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from frostpost.ledger.programs import history_entry
from frostpost.placement.ranking import history_digests

from .event_log import EventLog


class Runner(Struct):
    """A runner's settings and state, which `/stand-in` can change; `frozen_ms` is the time at which it froze."""

    name: str
    instance: str
    pool: str
    zone: str
    room: int
    seed: int
    piece_ms: float = 8.0
    start_ms: float = 10.0
    line_ms: float = 4.0
    lookup_ms: float = 40.0
    prefix_room: int = 400
    running: int = 0
    serial: int = 0
    leaving: bool = False
    mode: str = "well"
    careless: bool = False
    away: bool = False
    flood: int = 0
    frozen_ms: int = 0
    prefixes: dict[str, bool] = {}
    hits: int = 0
    misses: int = 0


def cache_prefixes(runner, digests):
    """Add a history's digests to the prefix cache; evicts the least recently used ones."""
    for digest in digests:
        runner.prefixes.pop(digest, None)
        runner.prefixes[digest] = True
    while len(runner.prefixes) > runner.prefix_room:
        runner.prefixes.pop(next(iter(runner.prefixes)))


DISCONNECT_MODES = ("before_headers", "in_piece", "before_end")


def frozen_for_ms(runner, events):
    """Return for how long the runner has been frozen, in milliseconds; 0 if it isn't."""
    return int(events.seconds() * 1000) - runner.frozen_ms if runner.frozen_ms else 0


def reset_connection(request):
    """Reset a request's connection."""
    channel = getattr(request, "channel", None)
    if channel is not None and channel.transport is not None:
        channel.transport.abortConnection()


def build(reactor, runner: Runner, events: EventLog):
    """Return the HTTP site of a stand-in runner."""
    app, random = Klein(), Random(runner.seed)

    def call_later(wait_ms, call, *args):
        return reactor.callLater(wait_ms / 1000 * (0.7 + 0.6 * random.random()), call, *args)

    def run_turn(request, run_request, run_id, total):
        done, state = Deferred(), {"gone": False}
        history = run_request["history"]
        digests = history_digests([history_entry(i, o) for i, o in history])
        cached = 0
        for digest in digests:
            if digest not in runner.prefixes:
                break
            cached += 1
        runner.hits, runner.misses = runner.hits + cached, runner.misses + len(digests) - cached

        def on_caller_gone(_):
            state["gone"] = True
            finish("caller_gone")

        request.notifyFinish().addErrback(on_caller_gone)

        def finish(outcome):
            if not done.called:
                runner.running -= 1
                events.record("ended", runner=runner.name, run=run_id, how=outcome)
                done.callback(b"")

        def disconnect():
            reset_connection(request)
            finish(runner.mode)

        def send_piece(number):
            if state["gone"]:
                return
            if runner.mode == "stall" and number == 3:
                return
            if runner.mode == "before_headers" and number == 1 or runner.mode == "before_end" and number > total:
                return disconnect()
            request.setHeader("content-type", "application/x-ndjson")
            if number > total:
                text = "".join(f"{run_id}:{k} " for k in range(1, total + 1))
                cache_prefixes(
                    runner,
                    history_digests(
                        [history_entry(i, o) for i, o in history] + [history_entry(run_request["input"], text)]
                    ),
                )
                request.write(json.encode({"end": True, "used": total}) + b"\n")
                return finish("whole")
            raw = json.encode({"n": number, "text": f"{run_id}:{number} " + "x" * runner.flood, "units": 1}) + b"\n"
            if runner.mode == "in_piece" and number == 2:
                request.write(raw[: len(raw) // 2])
                return call_later(1, disconnect)
            if runner.mode == "endless" and number == 2:
                return send_endlessly(request, state)
            request.write(raw)
            call_later(runner.piece_ms, send_piece, number + 1)

        call_later(runner.start_ms + runner.line_ms * (len(digests) - cached), send_piece, 1)
        return done

    def send_endlessly(request, state):
        if not state["gone"] and getattr(request, "channel", None) is not None:
            request.write(b"x" * 65536)
            call_later(1, send_endlessly, request, state)

    def run_lookup(request, run_request, run_id):
        done = Deferred()

        def finish():
            runner.running -= 1
            events.record("ended", runner=runner.name, run=run_id, how=runner.mode)
            if runner.mode in ("before_headers", "stall"):
                return runner.mode == "stall" or reset_connection(request)
            body = json.encode({"result": {"run": run_id, "echo": run_request["input"]}})
            request.setHeader("content-type", "application/json")
            if runner.mode == "bare503":
                request.setResponseCode(503)
                return done.callback(b"{}")
            if runner.mode in ("in_piece", "before_end"):
                request.write(body[: len(body) // 2 if runner.mode == "in_piece" else -1])
                return call_later(1, reset_connection, request)
            if runner.mode == "endless":
                return send_endlessly(request, {"gone": False})
            done.callback(body)

        call_later(runner.lookup_ms, finish)
        return done

    @app.route("/identity", methods=["GET"])
    def identity(request):
        if runner.careless:
            request.setResponseCode(404)
            return b"{}"
        return json.encode({"runner": runner.name, "instance": runner.instance, "leaving": runner.leaving})

    @app.route("/run", methods=["POST"])
    def run(request):
        run_request = json.decode(request.content.read())
        is_addressed = run_request["runner"] == runner.name and run_request["instance"] == runner.instance
        if not is_addressed and not runner.careless:
            events.record("misdirected", runner=runner.name, asked=run_request["runner"])
            request.setResponseCode(421)
            return json.encode({"ran": False})
        if runner.running >= runner.room:
            request.setResponseCode(503)
            return json.encode({"ran": False})
        runner.serial += 1
        runner.running += 1
        run_id = f"{runner.name}.{runner.instance}.{runner.serial}"
        total = min(run_request.get("max_output", 0), 100 if runner.flood else 3 + random.randrange(6))
        events.record(
            "ran",
            runner=runner.name,
            run=run_id,
            request=run_request["request"],
            of=run_request["kind"],
            tenant=run_request["tenant"],
            route=run_request["route"],
            key=run_request.get("key"),
            total=total,
            pool=runner.pool,
            input=run_request["input"],
            history=run_request.get("history"),
            max_output=run_request.get("max_output"),
            config=run_request.get("config"),
            held_ms=frozen_for_ms(runner, events),
        )
        request.notifyFinish().addErrback(lambda _: None)
        return (
            run_turn(request, run_request, run_id, total)
            if run_request["kind"] == "turn"
            else run_lookup(request, run_request, run_id)
        )

    @app.route("/load", methods=["GET"])
    def load(request):
        request.setHeader("content-type", "application/json")
        return json.encode(
            {
                "runner": runner.name,
                "instance": runner.instance,
                "load": float(runner.running),
                "room": runner.room,
                "prefixes": list(runner.prefixes),
                "leaving": runner.leaving,
            }
        )

    @app.route("/stand-in", methods=["POST"])
    def control(request):
        for key, value in json.decode(request.content.read()).items():
            setattr(runner, key, value)
        events.record("changed", runner=runner.name, mode=runner.mode, leaving=runner.leaving)
        return json.encode({"hits": runner.hits, "misses": runner.misses})

    return Site(app.resource(), reactor=reactor)
