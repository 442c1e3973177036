"""The platform's list of runners."""

from urllib.parse import quote

from msgspec import DecodeError, json
from twisted.internet.defer import inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from frostpost.daemon.body_reader import read_body
from frostpost.proxy.models import Runner

from .settings import address_of

PAGE_S, MOST_PAGES, KEPT_S, REFUSED_RETRY_MS = 1.0, 1000, 30, 500
PAGE_BYTES = 64 << 20


class ListRefusedError(Exception):
    """Too many calls for the platform's rate; come back after retry_ms."""

    def __init__(self, retry_ms=REFUSED_RETRY_MS):
        super().__init__(retry_ms)
        self.retry_ms = retry_ms


class ListBrokenError(Exception):
    """An answer that is no page of the list."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


def runner_of(entry):
    """Runner of one entry, or None."""
    try:
        host, port = address_of(entry["address"])
        slots, name, service, zone = entry["capacity"], entry["id"], entry["target"], entry.get("zone") or ""
    except (KeyError, TypeError, AttributeError):
        return None
    whole = isinstance(slots, int) and not isinstance(slots, bool) and slots >= 0
    if not (whole and isinstance(name, str) and name and isinstance(service, str) and service):
        return None
    return Runner(
        id=name,
        service=service,
        host=host,
        port=port,
        zone=str(zone),
        slots=slots,
        draining=entry.get("state") == "draining",
    )


def read_page(body):
    """(runners, next page's token or None); raises ListBrokenError when it is no page."""
    try:
        page = json.decode(body)
    except (DecodeError, UnicodeDecodeError):
        raise ListBrokenError(200) from None
    entries = page.get("instances") if isinstance(page, dict) else None
    if not isinstance(entries, list):
        raise ListBrokenError(200)
    token = page.get("next-token")
    return [runner for entry in entries if (runner := runner_of(entry)) is not None], token or None


def agent_of(agent):
    """The HTTP client of the list, which keeps one connection open; made at first use."""
    http_agent = agent.attachments.get("list_agent")
    if http_agent is None:
        pool = HTTPConnectionPool(agent.reactor, persistent=True)
        pool.maxPersistentPerHost, pool.cachedConnectionTimeout = 1, KEPT_S
        http_agent = agent.attachments["list_agent"] = Agent(agent.reactor, connectTimeout=PAGE_S, pool=pool)
    return http_agent


def retry_ms_of(response):
    """When the platform wants the next call, in milliseconds."""
    values = response.headers.getRawHeaders(b"Retry-After") or [b""]
    try:
        return max(1, int(float(values[0]) * 1000))
    except (ValueError, OverflowError):
        return REFUSED_RETRY_MS


@inlineCallbacks
def fetch_page(agent, token):
    """-> Deferred[(list[Runner], next token or None)]; ListBrokenError where the page can't be read."""
    settings = agent.settings
    url = f"http://{settings.list_host}:{settings.list_port}/instances"
    if token:
        url += f"?page-token={quote(str(token), safe='')}"
    response = yield agent_of(agent).request(b"GET", url.encode()).addTimeout(PAGE_S, agent.reactor)
    body = yield read_body(response, PAGE_BYTES, until_close=True).addTimeout(PAGE_S, agent.reactor)
    if response.code == 429:
        raise ListRefusedError(retry_ms_of(response))
    if response.code != 200:
        raise ListBrokenError(response.code)
    return read_page(body)


@inlineCallbacks
def fetch_list(agent):
    """Deferred[list[Runner]], all pages; fails with ListRefusedError, ListBrokenError or a connection's own error."""
    found, token = {}, None
    for page in range(MOST_PAGES):
        runners, token = yield fetch_page(agent, token)
        for runner in runners:
            if runner.id not in found or runner.draining:
                found[runner.id] = runner
        if token is None:
            agent.runner_list.pages = page + 1
            return list(found.values())
    raise ListBrokenError(200)
