"""Client of the platform's runner list API."""

from urllib.parse import quote

from msgspec import DecodeError, json
from twisted.internet.defer import inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from frostpost.daemon.body_reader import read_body
from frostpost.proxy.models import Runner

from .settings import parse_address

PAGE_TIMEOUT_S, MAX_PAGES, IDLE_TIMEOUT_S, DEFAULT_RETRY_MS = 1.0, 1000, 30, 500
MAX_PAGE_BYTES = 64 << 20


class ListRateLimitedError(Exception):
    """The platform rejected the request by its rate limit; retry after retry_ms."""

    def __init__(self, retry_ms=DEFAULT_RETRY_MS):
        super().__init__(retry_ms)
        self.retry_ms = retry_ms


class InvalidListError(Exception):
    """The response is not a page of the runner list."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


def parse_runner(entry):
    """Convert an entry of the list into a Runner, or None if the entry is invalid."""
    try:
        host, port = parse_address(entry["address"])
        slots, runner_id, service, zone = entry["capacity"], entry["id"], entry["target"], entry.get("zone") or ""
    except (KeyError, TypeError, AttributeError):
        return None
    valid_slots = isinstance(slots, int) and not isinstance(slots, bool) and slots >= 0
    if not (valid_slots and isinstance(runner_id, str) and runner_id and isinstance(service, str) and service):
        return None
    return Runner(
        id=runner_id,
        service=service,
        host=host,
        port=port,
        zone=str(zone),
        slots=slots,
        draining=entry.get("state") == "draining",
    )


def parse_page(body):
    """Parse a page of the list. Returns (runners, token of the next page or None); raises InvalidListError."""
    try:
        page = json.decode(body)
    except (DecodeError, UnicodeDecodeError):
        raise InvalidListError(200) from None
    entries = page.get("instances") if isinstance(page, dict) else None
    if not isinstance(entries, list):
        raise InvalidListError(200)
    token = page.get("next-token")
    return [runner for entry in entries if (runner := parse_runner(entry)) is not None], token or None


def list_http_agent(agent):
    """Return the HTTP client of the list, created on first use; it keeps one connection open."""
    http_agent = agent.attachments.get("list_agent")
    if http_agent is None:
        pool = HTTPConnectionPool(agent.reactor, persistent=True)
        pool.maxPersistentPerHost, pool.cachedConnectionTimeout = 1, IDLE_TIMEOUT_S
        http_agent = agent.attachments["list_agent"] = Agent(agent.reactor, connectTimeout=PAGE_TIMEOUT_S, pool=pool)
    return http_agent


def retry_after_ms(response):
    """Return the Retry-After time of a response in milliseconds."""
    values = response.headers.getRawHeaders(b"Retry-After") or [b""]
    try:
        return max(1, int(float(values[0]) * 1000))
    except (ValueError, OverflowError):
        return DEFAULT_RETRY_MS


@inlineCallbacks
def fetch_page(agent, token):
    """Fetch one page of the list. Returns Deferred[(list[Runner], token of the next page or None)].

    Fails with ListRateLimitedError, InvalidListError or a connection error.
    """
    settings = agent.settings
    url = f"http://{settings.list_host}:{settings.list_port}/instances"
    if token:
        url += f"?page-token={quote(str(token), safe='')}"
    response = yield list_http_agent(agent).request(b"GET", url.encode()).addTimeout(PAGE_TIMEOUT_S, agent.reactor)
    body = yield read_body(response, MAX_PAGE_BYTES, until_close=True).addTimeout(PAGE_TIMEOUT_S, agent.reactor)
    if response.code == 429:
        raise ListRateLimitedError(retry_after_ms(response))
    if response.code != 200:
        raise InvalidListError(response.code)
    return parse_page(body)


@inlineCallbacks
def fetch_list(agent):
    """Fetch all pages of the list. Returns Deferred[list[Runner]].

    A runner that is on several pages counts as draining if one of them shows it so. Fails with ListRateLimitedError,
    InvalidListError or a connection error.
    """
    runners_by_id, token = {}, None
    for page in range(MAX_PAGES):
        runners, token = yield fetch_page(agent, token)
        for runner in runners:
            if runner.id not in runners_by_id or runner.draining:
                runners_by_id[runner.id] = runner
        if token is None:
            agent.runner_list.pages = page + 1
            return list(runners_by_id.values())
    raise InvalidListError(200)
