"""Simulated cloud API that lists runners with a propagation lag."""

from msgspec import json
from twisted.internet.protocol import Factory, Protocol

from .http import Reader, write

PAGE = 4


class Listing:
    """Runner list with its history of (at_ms, entries by runner id), newest last."""

    __slots__ = ("host", "notes", "history", "lag_ms", "down", "calls", "reader")

    def __init__(self, host, notes, lag_ms):
        self.host, self.notes, self.history, self.lag_ms = host, notes, [(-1e9, {})], lag_ms
        self.down, self.calls, self.reader = False, 0, ""

    def now_ms(self):
        return self.host.seconds() * 1000

    def change(self, runner, state):
        entries = dict(self.history[-1][1])
        if state == "gone":
            entries.pop(runner.id, None)
        else:
            entries[runner.id] = {
                "id": runner.id,
                "target": runner.service,
                "address": f"{runner.host.address}:{runner.port}",
                "zone": runner.zone,
                "capacity": runner.slots,
                "state": state,
                "cold-left-ms": 0,
                "issue": "v1",
            }
        self.history.append((self.now_ms(), entries))
        self.notes.shown.append((self.now_ms() + self.lag_ms, runner.id, state))

    def shown(self):
        return next(entries for at_ms, entries in reversed(self.history) if at_ms <= self.now_ms() - self.lag_ms)


class ListingConnection(Protocol):
    def __init__(self, listing):
        self.listing, self.reader = listing, Reader(self.request_received)

    def dataReceived(self, data):
        self.reader.feed(data)

    def request_received(self, message):
        listing = self.listing
        if listing.down:
            return
        listing.calls += 1
        listing.reader = self.transport.getPeer().host
        token = message.start.decode().partition("page-token=")[2].split(" ")[0]
        entries, start = [e for _, e in sorted(listing.shown().items())], int(token or 0)
        next_start = start + PAGE if start + PAGE < len(entries) else None
        body = json.encode({"instances": entries[start : start + PAGE], "next-token": next_start and str(next_start)})
        self.transport.write(
            write(
                b"HTTP/1.1 200 OK",
                [(b"Content-Type", b"application/json"), (b"Content-Length", b"%d" % len(body))],
                body,
            )
        )


def start_listing(host, notes, lag_ms, port=80):
    listing, factory = Listing(host, notes, lag_ms), Factory()
    factory.buildProtocol = lambda _: ListingConnection(listing)
    host.listenTCP(port, factory)
    return listing
