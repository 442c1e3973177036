"""Calls into a simulated fleet: its addresses, whether a daemon is ready, one call, a crowd of callers."""

from msgspec import json

from frostpost.testbed import callers

from .fleet import HTTP, clock_ms


def doors(fleet):
    """Return the HTTP addresses of the edge daemons."""
    return [f"{d.host.address}:{HTTP}" for n, d in fleet.daemons.items() if d.settings.role == "edge"]


def ready(fleet, name):
    """Tell whether a daemon serves."""
    from frostpost.daemon.core import holds_lease

    daemon = fleet.daemons[name]
    ctx = daemon.ctx
    return (
        daemon.host.alive
        and not daemon.host.frozen
        and ctx is not None
        and not ctx.shutting_down
        and holds_lease(ctx.core, int(clock_ms(fleet)))
        and ctx.effective_config_index >= ctx.required_config_index
    )


def crowd(fleet, seconds, factor, tag="p"):
    """Start stand-in callers."""
    fleet.callers.catch_up()
    fleet.crowd = callers.CallerGroup(fleet.callers, doors(fleet), fleet.seed, fleet.notes, tag)
    over = []
    callers.run_arrivals(fleet.crowd, seconds, factor, lambda: over.append(True))
    return over


def call(fleet, name, path, method="GET", document=None, headers=None):
    """Send an HTTP request; returns a list that receives (status, body)."""
    from treq.client import HTTPClient
    from twisted.web.client import Agent

    from frostpost.http_api.http_client import NumericEndpointFactory

    host, box = fleet.callers, []
    host.catch_up()
    client = HTTPClient(Agent.usingEndpointFactory(host, NumericEndpointFactory(host, 1)))
    daemon = fleet.daemons[name]
    done = client.request(
        method,
        f"http://{daemon.host.address}:{HTTP}{path}",
        data=None if document is None else callers.request_body(host, json.encode(document)),
        headers=headers or {},
        timeout=20,
        reactor=host,
    )

    def body(response):
        return response.content().addCallback(lambda raw: box.append((response.code, raw)))

    done.addCallback(body).addErrback(lambda f: box.append((0, f.type.__name__.encode())))
    return box
