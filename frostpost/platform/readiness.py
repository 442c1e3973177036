"""Whether this daemon wants new connections."""

from frostpost.proxy.words import ClientBounds

from .server import Server, reply

PATH, BOUNDS = b"/frostpost/readiness", ClientBounds(body_bytes=1024)


def ready(leaf):
    from frostpost.cluster.lease_client import lease_ok

    return (
        not leaf.leaving and leaf.routing is not None and leaf.extras.get("list_seen", False) and bool(lease_ok(leaf))
    )


def server(leaf):
    """The server of the readiness address."""

    def handle(request):
        if request.path != PATH:
            reply(request, 404)
        else:
            reply(request, 200 if ready(leaf) else 503)

    return Server(leaf.reactor, handle, lambda: BOUNDS, 64)
