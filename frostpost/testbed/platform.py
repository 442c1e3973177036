"""A stand-in for the platform's list of runners: it lags and limits the rate of requests."""

from collections.abc import Callable
from time import monotonic

from klein import Klein
from msgspec import Struct, json
from twisted.web.server import Site


class Platform(Struct):
    """The list's state; rates per second, lag in seconds."""

    lag_s: float = 0.5
    per_second: float = 4.0
    tokens: float = 4.0
    last_s: float = 0.0
    pages: list[tuple[float, list[dict]]] = []
    asked: int = 0
    refused: int = 0
    seconds: Callable = monotonic


def show(platform, rows):
    """Publish a list."""
    platform.pages.append((platform.seconds(), rows))


def seen(platform, now_s):
    """Return the list as it is shown at a time."""
    shown = [rows for at_s, rows in platform.pages if now_s - at_s >= platform.lag_s]
    return shown[-1] if shown else []


def build(platform, reactor=None):
    """Return the HTTP site."""
    app = Klein()

    @app.route("/runners", methods=["GET"])
    def runners(request):
        now_s = platform.seconds()
        platform.asked += 1
        platform.tokens = min(platform.per_second, platform.tokens + (now_s - platform.last_s) * platform.per_second)
        platform.last_s = now_s
        if platform.tokens < 1:
            platform.refused += 1
            request.setResponseCode(429)
            request.setHeader("retry-after", "1")
            return b"{}"
        platform.tokens -= 1
        return json.encode({"runners": seen(platform, now_s)})

    @app.route("/runners", methods=["PUT"])
    def change(request):
        show(platform, json.decode(request.content.read())["runners"])
        return b"{}"

    return Site(app.resource(), reactor=reactor)
