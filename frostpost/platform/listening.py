"""Opens the listening ports of a daemon and assembles the platform's `Front`."""

from twisted.internet.defer import maybeDeferred

from frostpost.cluster.settings import Front

from .runner_protocol import make_wire
from .settings import read_settings

BACKLOG = 1024


def open_ports(agent, serve=None):
    """Listen on every address in the settings and store the server of the front address as `agent.front`.

    Returns the list of ports.
    """
    settings, ports = agent.settings, []

    def listen(address, server):
        ports.append(agent.reactor.listenTCP(address[1], server, backlog=BACKLOG, interface=address[0]))

    if settings.front:
        if serve is None:
            from frostpost.proxy.serve import serve
        from . import front

        agent.front = front.make_server(agent, serve)
        listen(settings.front, agent.front)
    if settings.readiness:
        from . import readiness

        listen(settings.readiness, readiness.make_server(agent))
    if settings.control:
        from . import control

        listen(settings.control, control.make_server(agent))
    return ports


def fetch_list(agent):
    """Fetch all pages of the platform's runner list. Returns Deferred[list[Runner]]."""
    from .runner_list import fetch_list as fetch_all

    return fetch_all(agent)


def call_task(agent, task, fence, timeout_ms, may_send):
    """Make the call of a platform task. Returns Deferred[TaskOutcome]."""
    from .task_calls import call_task as call

    return call(agent, task, fence, timeout_ms, may_send)


def routing_from_body(body):
    """Decode a stored configuration into Routing."""
    from .routing import routing_from_body as decode

    return decode(body)


def make_front(path=None, role=None):
    """Create the platform's `Front`; `path` and `role` are used again when the settings are reloaded."""
    return Front(
        listen=lambda agent: maybeDeferred(open_ports, agent),
        wire=make_wire(),
        fetch_list=fetch_list,
        routing_from_body=routing_from_body,
        reread=lambda: read_settings(path, role),
        call_task=call_task,
    )
