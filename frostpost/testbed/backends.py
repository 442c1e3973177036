"""Stand-in runners and the platform's runner list in one process."""

import sys
from typing import Annotated

import cappa
from msgspec import Struct, json
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ServerEndpoint

from . import platform as platforms
from .event_log import EventLog
from .runner import Runner, build

POOLS = {
    "hlidar": (("hmodel", 9, 24), ("hlookup", 3, 64)),
    "tamar": (("tmodel", 5, 24), ("tlookup", 3, 64)),
}


def list_row(runner, port):
    """Return a runner's row in the list."""
    return {
        "name": runner.name,
        "instance": runner.instance,
        "host": "127.0.0.1",
        "port": port,
        "pool": runner.pool,
        "zone": runner.zone,
        "room": runner.room,
    }


def start_backends(seed, events, on_ready):
    """Start the runners and the list, then call `on_ready(list_port, rows)`."""
    platform, rows, listening_ports = platforms.Platform(lag_s=0.2), [], []

    def on_listening(port, runner):
        rows.append(list_row(runner, port.getHost().port))

    number = 0
    for pools in POOLS.values():
        for pool, count, room in pools:
            for index in range(count):
                number += 1
                runner = Runner(f"{pool}{index + 1}", f"i{number}", pool, "abc"[index % 3], room, seed + number)
                endpoint = TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1", backlog=512)
                listening_ports.append(
                    endpoint.listen(build(reactor, runner, events)).addCallback(on_listening, runner)
                )
    endpoint = TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")

    def list_ready(port):
        platforms.publish(platform, sorted(rows, key=lambda row: row["name"]))
        on_ready(port.getHost().port, rows)

    endpoint.listen(platforms.build(platform)).addCallback(list_ready)


@cappa.command(name="backs", help="Stand-in runners and the platform's runner list, in one process.")
class Backends(Struct, kw_only=True):
    """Arguments of the command."""

    notes: Annotated[str, cappa.Arg(help="file for the runners' event log")]
    seed: Annotated[int, cappa.Arg(long=True, help="seed of the stand-ins' random choices")] = 1


def main():
    """Run the command line; returns the exit status."""
    command = cappa.parse(Backends)

    def on_ready(port, rows):
        sys.stdout.buffer.write(json.encode({"list": port, "runners": rows}) + b"\n")
        sys.stdout.flush()

    start_backends(command.seed, EventLog(command.notes), on_ready)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
