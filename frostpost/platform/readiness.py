"""Whether this daemon wants new connections."""

from frostpost.proxy.models import ClientBounds

from .server import Server, reply

PATH, BOUNDS = b"/frostpost/readiness", ClientBounds(body_bytes=1024)


def ready(agent):
    """Whether new connections may come: a lease, a configuration and a list are there, and it isn't draining."""
    from frostpost.cluster.lease_client import holds_lease
    from frostpost.cluster.list_reading import NEVER_MS

    return (
        not agent.draining
        and agent.routing is not None
        and agent.runner_list.last.read_ms != NEVER_MS
        and bool(holds_lease(agent))
    )


def server(agent):
    """The server of the readiness address."""

    def handle(request):
        if request.path != PATH:
            reply(request, 404)
        else:
            reply(request, 200 if ready(agent) else 503)

    return Server(agent.reactor, handle, lambda: BOUNDS, 64)
