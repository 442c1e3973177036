"""Mapping of requests to routes and services."""

from zlib import crc32


def build_index(routing):
    """Return a dict of host to a dict of path prefix to route."""
    index = {}
    for route in routing.routes:
        index.setdefault(route.host.lower(), {})[route.prefix] = route
    return index


def current_index(agent):
    """Return the index of the current routing, rebuilt when the routing changes."""
    cached = agent.attachments.get("route_index")
    if cached is None or cached[0] is not agent.routing:
        cached = agent.attachments["route_index"] = (agent.routing, build_index(agent.routing))
    return cached[1]


def find_route(agent, host, path):
    """Return the host's route with the longest prefix of the path, or None."""
    if agent.routing is None:
        return None
    host = host.lower()
    index = current_index(agent)
    prefixes = index.get(host)
    if prefixes is None:
        prefixes = index.get(host.rpartition(":")[0])
    if prefixes is None:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def pick_service(routing, route, attempt):
    """Choose a service by weight, deterministically for an attempt id; returns None if all weights are zero."""
    total = sum(weight for _, weight in route.weights)
    if total <= 0:
        return None
    position = crc32(attempt.encode()) % total
    for name, weight in route.weights:
        if position < weight:
            return routing.services.get(name)
        position -= weight
    return None
