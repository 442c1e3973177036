"""A stand-in runner with a prefix cache, modes of misbehaviour and a load report."""

from random import Random

from klein import Klein
from msgspec import Struct, json
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from frostpost.ledger.programs import history_entry
from frostpost.placement.ranking import history_digests

from .notes import Notes


class Runner(Struct):
    """A runner's settings and state; times in milliseconds."""

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


def remember(runner, chain):
    """Put a history's digests into the cache; the oldest drop out."""
    for digest in chain:
        runner.prefixes.pop(digest, None)
        runner.prefixes[digest] = True
    while len(runner.prefixes) > runner.prefix_room:
        runner.prefixes.pop(next(iter(runner.prefixes)))


CUTS = ("before_headers", "in_piece", "before_end")


def held_for_ms(runner, notes):
    """Return for how long a frozen runner held a request."""
    return int(notes.seconds() * 1000) - runner.frozen_ms if runner.frozen_ms else 0


def cut_off(request):
    """Reset a request's connection."""
    channel = getattr(request, "channel", None)
    if channel is not None and channel.transport is not None:
        channel.transport.abortConnection()


def build(reactor, runner: Runner, notes: Notes):
    """Return the HTTP site."""
    app, random = Klein(), Random(runner.seed)

    def later(wait_ms, call, *args):
        return reactor.callLater(wait_ms / 1000 * (0.7 + 0.6 * random.random()), call, *args)

    def turn(request, asked, run_id, total):
        done, state = Deferred(), {"gone": False}
        history = asked["history"]
        chain = history_digests([history_entry(i, o) for i, o in history])
        held = 0
        for digest in chain:
            if digest not in runner.prefixes:
                break
            held += 1
        runner.hits, runner.misses = runner.hits + held, runner.misses + len(chain) - held

        def gone(_):
            state["gone"] = True
            finish("caller_gone")

        request.notifyFinish().addErrback(gone)

        def finish(how):
            if not done.called:
                runner.running -= 1
                notes.say("ended", runner=runner.name, run=run_id, how=how)
                done.callback(b"")

        def cut():
            cut_off(request)
            finish(runner.mode)

        def piece(n):
            if state["gone"]:
                return
            if runner.mode == "stall" and n == 3:
                return
            if runner.mode == "before_headers" and n == 1 or runner.mode == "before_end" and n > total:
                return cut()
            request.setHeader("content-type", "application/x-ndjson")
            if n > total:
                text = "".join(f"{run_id}:{k} " for k in range(1, total + 1))
                remember(
                    runner,
                    history_digests([history_entry(i, o) for i, o in history] + [history_entry(asked["input"], text)]),
                )
                request.write(json.encode({"end": True, "used": total}) + b"\n")
                return finish("whole")
            raw = json.encode({"n": n, "text": f"{run_id}:{n} " + "x" * runner.flood, "units": 1}) + b"\n"
            if runner.mode == "in_piece" and n == 2:
                request.write(raw[: len(raw) // 2])
                return later(1, cut)
            if runner.mode == "endless" and n == 2:
                return endless(request, state)
            request.write(raw)
            later(runner.piece_ms, piece, n + 1)

        later(runner.start_ms + runner.line_ms * (len(chain) - held), piece, 1)
        return done

    def endless(request, state):
        if not state["gone"] and getattr(request, "channel", None) is not None:
            request.write(b"x" * 65536)
            later(1, endless, request, state)

    def lookup(request, asked, run_id):
        done = Deferred()

        def finish():
            runner.running -= 1
            notes.say("ended", runner=runner.name, run=run_id, how=runner.mode)
            if runner.mode in ("before_headers", "stall"):
                return runner.mode == "stall" or cut_off(request)
            body = json.encode({"result": {"run": run_id, "echo": asked["input"]}})
            request.setHeader("content-type", "application/json")
            if runner.mode == "bare503":
                request.setResponseCode(503)
                return done.callback(b"{}")
            if runner.mode in ("in_piece", "before_end"):
                request.write(body[: len(body) // 2 if runner.mode == "in_piece" else -1])
                return later(1, cut_off, request)
            if runner.mode == "endless":
                return endless(request, {"gone": False})
            done.callback(body)

        later(runner.lookup_ms, finish)
        return done

    @app.route("/identity", methods=["GET"])
    def identity(request):
        if runner.careless:
            request.setResponseCode(404)
            return b"{}"
        return json.encode({"runner": runner.name, "instance": runner.instance, "leaving": runner.leaving})

    @app.route("/run", methods=["POST"])
    def run(request):
        asked = json.decode(request.content.read())
        mine = asked["runner"] == runner.name and asked["instance"] == runner.instance
        if not mine and not runner.careless:
            notes.say("misdirected", runner=runner.name, asked=asked["runner"])
            request.setResponseCode(421)
            return json.encode({"ran": False})
        if runner.running >= runner.room:
            request.setResponseCode(503)
            return json.encode({"ran": False})
        runner.serial += 1
        runner.running += 1
        run_id = f"{runner.name}.{runner.instance}.{runner.serial}"
        total = min(asked.get("max_output", 0), 100 if runner.flood else 3 + random.randrange(6))
        notes.say(
            "ran",
            runner=runner.name,
            run=run_id,
            request=asked["request"],
            of=asked["kind"],
            tenant=asked["tenant"],
            route=asked["route"],
            key=asked.get("key"),
            total=total,
            pool=runner.pool,
            input=asked["input"],
            history=asked.get("history"),
            max_output=asked.get("max_output"),
            config=asked.get("config"),
            held_ms=held_for_ms(runner, notes),
        )
        request.notifyFinish().addErrback(lambda _: None)
        return turn(request, asked, run_id, total) if asked["kind"] == "turn" else lookup(request, asked, run_id)

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
    def change(request):
        for key, value in json.decode(request.content.read()).items():
            setattr(runner, key, value)
        notes.say("changed", runner=runner.name, mode=runner.mode, leaving=runner.leaving)
        return json.encode({"hits": runner.hits, "misses": runner.misses})

    return Site(app.resource(), reactor=reactor)
