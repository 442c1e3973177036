"""Requests to a simulated fleet: single calls and simulated callers; addresses and readiness of its daemons."""

from msgspec import json

from frostpost.testbed import callers

from .fleet import HTTP_PORT, clock_ms


def edge_addresses(fleet):
    """Return the HTTP addresses of the edge daemons."""
    return [f"{d.host.address}:{HTTP_PORT}" for n, d in fleet.daemons.items() if d.settings.role == "edge"]


def is_ready(fleet, name):
    """Return whether a daemon runs, holds a lease and has applied the configuration that it needs."""
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


def start_callers(fleet, seconds, factor, tag="p"):
    """Start simulated callers; returns a list that receives an item once all arrivals are done."""
    fleet.callers.run_due_calls()
    fleet.crowd = callers.CallerGroup(fleet.callers, edge_addresses(fleet), fleet.seed, fleet.notes, tag)
    finished = []
    callers.run_arrivals(fleet.crowd, seconds, factor, lambda: finished.append(True))
    return finished


def call(fleet, name, path, method="GET", document=None, headers=None):
    """Send an HTTP request; returns a list that receives (status, body), or (0, error name) if the request fails."""
    from treq.client import HTTPClient
    from twisted.web.client import Agent

    from frostpost.http_api.http_client import NumericEndpointFactory

    host, responses = fleet.callers, []
    host.run_due_calls()
    client = HTTPClient(Agent.usingEndpointFactory(host, NumericEndpointFactory(host, 1)))
    daemon = fleet.daemons[name]
    deferred = client.request(
        method,
        f"http://{daemon.host.address}:{HTTP_PORT}{path}",
        data=None if document is None else callers.request_body(host, json.encode(document)),
        headers=headers or {},
        timeout=20,
        reactor=host,
    )

    def append_response(response):
        return response.content().addCallback(lambda body: responses.append((response.code, body)))

    deferred.addCallback(append_response).addErrback(
        lambda failure: responses.append((0, failure.type.__name__.encode()))
    )
    return responses
