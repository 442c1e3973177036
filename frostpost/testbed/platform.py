"""A stand-in for the platform's runner list, with propagation lag and a rate limit."""

from collections.abc import Callable
from time import monotonic

from klein import Klein
from msgspec import Struct, json
from twisted.web.server import Site


class Platform(Struct):
    """State of the list: published versions, lag in seconds and the token bucket of the rate limit."""

    lag_s: float = 0.5
    per_second: float = 4.0
    tokens: float = 4.0
    refilled_s: float = 0.0
    published: list[tuple[float, list[dict]]] = []
    requests_received: int = 0
    requests_refused: int = 0
    seconds: Callable = monotonic


def publish(platform, rows):
    """Publish a new version of the list."""
    platform.published.append((platform.seconds(), rows))


def visible_rows(platform, now_s):
    """Return the newest version that is older than the lag, or an empty list."""
    visible = [rows for at_s, rows in platform.published if now_s - at_s >= platform.lag_s]
    return visible[-1] if visible else []


def build(platform, reactor=None):
    """Return the HTTP site that serves the list, and replaces it on PUT."""
    app = Klein()

    @app.route("/runners", methods=["GET"])
    def runners(request):
        now_s = platform.seconds()
        platform.requests_received += 1
        platform.tokens = min(
            platform.per_second, platform.tokens + (now_s - platform.refilled_s) * platform.per_second
        )
        platform.refilled_s = now_s
        if platform.tokens < 1:
            platform.requests_refused += 1
            request.setResponseCode(429)
            request.setHeader("retry-after", "1")
            return b"{}"
        platform.tokens -= 1
        return json.encode({"runners": visible_rows(platform, now_s)})

    @app.route("/runners", methods=["PUT"])
    def replace(request):
        publish(platform, json.decode(request.content.read())["runners"])
        return b"{}"

    return Site(app.resource(), reactor=reactor)
