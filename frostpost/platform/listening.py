"""The addresses that a role serves, and the front that the product is handed."""

from twisted.internet.defer import maybeDeferred

from frostpost.cluster.settings import Front

from .runner_protocol import wire
from .settings import read

BACKLOG = 1024


def open_ports(agent, serve=None):
    """Listen on every address that the settings name; the front's server becomes `agent.front`."""
    settings, ports = agent.settings, []

    def listen(address, server):
        ports.append(agent.reactor.listenTCP(address[1], server, backlog=BACKLOG, interface=address[0]))

    if settings.front:
        if serve is None:
            from frostpost.proxy.serve import serve
        from . import front

        agent.front = front.server(agent, serve)
        listen(settings.front, agent.front)
    if settings.readiness:
        from . import readiness

        listen(settings.readiness, readiness.server(agent))
    if settings.control:
        from . import control

        listen(settings.control, control.server(agent))
    return ports


def fetch_list(agent):
    """-> Deferred[list[Runner]]: all pages of the platform's list."""
    from .runner_list import fetch_list as fetch

    return fetch(agent)


def routing_from_body(body):
    """A committed configuration as routing."""
    from .routing import routing_from_body as routing

    return routing(body)


def make_front(path=None, role=None):
    """The platform's `Front`."""
    return Front(
        listen=lambda agent: maybeDeferred(open_ports, agent),
        wire=wire(),
        fetch_list=fetch_list,
        routing_from_body=routing_from_body,
        reread=lambda: read(path, role),
    )
