"""Readiness endpoint: whether this daemon accepts new connections."""

from frostpost.proxy.models import ClientBounds

from .server import Server, reply

PATH, CLIENT_BOUNDS = b"/frostpost/readiness", ClientBounds(body_bytes=1024)


def is_ready(agent):
    """Return whether the daemon has a lease, a configuration and a runner list, and isn't draining."""
    from frostpost.cluster.lease_client import holds_lease
    from frostpost.cluster.list_reading import NEVER_MS

    return (
        not agent.draining
        and agent.routing is not None
        and agent.runner_list.last.read_ms != NEVER_MS
        and bool(holds_lease(agent))
    )


def make_server(agent):
    """Create the server of the readiness address."""

    def handle(request):
        if request.path != PATH:
            reply(request, 404)
        else:
            reply(request, 200 if is_ready(agent) else 503)

    return Server(agent.reactor, handle, lambda: CLIENT_BOUNDS, 64)
