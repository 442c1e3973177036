from time import monotonic
from typing import Callable

from klein import Klein
from msgspec import Struct, json
from twisted.web.server import Site


class Platform(Struct):
    lagS: float = 0.5
    perSecond: float = 4.0
    tokens: float = 4.0
    lastS: float = 0.0
    pages: list[tuple[float, list[dict]]] = []
    asked: int = 0
    turnedAway: int = 0
    seconds: Callable = monotonic


def show(platform, rows):
    platform.pages.append((platform.seconds(), rows))


def seen(platform, nowS):
    shown = [rows for atS, rows in platform.pages if nowS - atS >= platform.lagS]
    return shown[-1] if shown else []


def build(platform, reactor=None):
    app = Klein()

    @app.route("/runners", methods=["GET"])
    def runners(request):
        nowS = platform.seconds()
        platform.asked += 1
        platform.tokens = min(platform.perSecond, platform.tokens + (nowS - platform.lastS) * platform.perSecond)
        platform.lastS = nowS
        if platform.tokens < 1:
            platform.turnedAway += 1
            request.setResponseCode(429)
            request.setHeader("retry-after", "1")
            return b"{}"
        platform.tokens -= 1
        return json.encode({"runners": seen(platform, nowS)})

    @app.route("/runners", methods=["PUT"])
    def change(request):
        show(platform, json.decode(request.content.read())["runners"])
        return b"{}"

    return Site(app.resource(), reactor=reactor)
