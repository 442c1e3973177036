from random import Random

from klein import Klein
from msgspec import Struct, json
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from frostpost.harvest.judge import chainOf
from frostpost.granary.programs import line
from .notes import Notes


class Runner(Struct):
    name: str
    instance: str
    pool: str
    cell: str
    room: int
    seed: int
    pieceMs: float = 8.0
    startMs: float = 10.0
    lineMs: float = 4.0
    lookupMs: float = 40.0
    prefixRoom: int = 400
    running: int = 0
    serial: int = 0
    leaving: bool = False
    mode: str = "well"
    prefixes: dict[str, bool] = {}
    hits: int = 0
    misses: int = 0


def remember(runner, chain):
    for digest in chain:
        runner.prefixes.pop(digest, None)
        runner.prefixes[digest] = True
    while len(runner.prefixes) > runner.prefixRoom:
        runner.prefixes.pop(next(iter(runner.prefixes)))


def build(reactor, runner: Runner, notes: Notes):
    app, random = Klein(), Random(runner.seed)

    def later(waitMs, call, *args):
        return reactor.callLater(waitMs / 1000 * (0.7 + 0.6 * random.random()), call, *args)

    def turn(request, asked, runId):
        done, state = Deferred(), {"gone": False}
        history = asked["history"]
        chain = chainOf([line(i, o) for i, o in history])
        held = 0
        for digest in chain:
            if digest not in runner.prefixes:
                break
            held += 1
        runner.hits, runner.misses = runner.hits + held, runner.misses + len(chain) - held
        total = min(asked["maxOutput"], 3 + random.randrange(6))
        request.setHeader("content-type", "application/x-ndjson")

        def gone(_):
            state["gone"] = True
            finish("callerGone")
        request.notifyFinish().addErrback(gone)

        def finish(how):
            if not done.called:
                runner.running -= 1
                notes.say("ended", runner=runner.name, run=runId, how=how)
                done.callback(b"")

        def piece(n):
            if state["gone"]:
                return
            if runner.mode == "stall" and n == 3:
                return
            if runner.mode == "drop" and n == total:
                request.transport.abortConnection()
                return finish("dropped")
            if n > total:
                text = "".join(f"{runId}:{k} " for k in range(1, total + 1))
                remember(runner, chainOf([line(i, o) for i, o in history] + [line(asked["input"], text)]))
                request.write(json.encode({"end": True, "used": total}) + b"\n")
                return finish("whole")
            request.write(json.encode({"n": n, "text": f"{runId}:{n} ", "units": 1}) + b"\n")
            later(runner.pieceMs, piece, n + 1)
        later(runner.startMs + runner.lineMs * (len(chain) - held), piece, 1)
        return done

    def lookup(request, asked, runId):
        done = Deferred()

        def finish():
            runner.running -= 1
            notes.say("ended", runner=runner.name, run=runId, how=runner.mode)
            if runner.mode == "drop":
                request.transport.abortConnection()
                return
            if runner.mode == "stall":
                return
            request.setHeader("content-type", "application/json")
            done.callback(json.encode({"result": {"run": runId, "echo": asked["input"]}}))
        later(runner.lookupMs, finish)
        return done

    @app.route("/run", methods=["POST"])
    def run(request):
        asked = json.decode(request.content.read())
        if asked["runner"] != runner.name or asked["instance"] != runner.instance:
            notes.say("misdirected", runner=runner.name, asked=asked["runner"])
            request.setResponseCode(421)
            return b"{}"
        if runner.running >= runner.room:
            request.setResponseCode(503)
            return b"{}"
        runner.serial += 1
        runner.running += 1
        runId = f"{runner.name}.{runner.instance}.{runner.serial}"
        notes.say("ran", runner=runner.name, run=runId, request=asked["request"], of=asked["kind"],
                  tenant=asked["tenant"], lane=asked["lane"], key=asked.get("key"),
                  pool=runner.pool, input=asked["input"], history=asked.get("history"))
        done = turn(request, asked, runId) if asked["kind"] == "turn" else lookup(request, asked, runId)
        request.notifyFinish().addErrback(lambda _: None)
        return done

    @app.route("/load", methods=["GET"])
    def load(request):
        request.setHeader("content-type", "application/json")
        return json.encode({
            "runner": runner.name, "instance": runner.instance, "load": float(runner.running),
            "room": runner.room, "prefixes": list(runner.prefixes), "leaving": runner.leaving})

    @app.route("/stand-in", methods=["POST"])
    def change(request):
        for key, value in json.decode(request.content.read()).items():
            setattr(runner, key, value)
        notes.say("changed", runner=runner.name, mode=runner.mode, leaving=runner.leaving)
        return json.encode({"hits": runner.hits, "misses": runner.misses})
    return Site(app.resource())
