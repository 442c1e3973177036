"""Stand-in runners and the platform's list in one process."""

import sys
from typing import Annotated

import cappa
from msgspec import Struct, json
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ServerEndpoint

from . import platform as platforms
from .notes import Notes
from .runner import Runner, build

POOLS = {
    "hlidar": (("hmodel", 9, 24), ("hlookup", 3, 64)),
    "tamar": (("tmodel", 5, 24), ("tlookup", 3, 64)),
}


def row_of(runner, port):
    """Return a runner's row of the list."""
    return {
        "name": runner.name,
        "instance": runner.instance,
        "host": "127.0.0.1",
        "port": port,
        "pool": runner.pool,
        "zone": runner.zone,
        "room": runner.room,
    }


def raise_(seed, notes, ready):
    """Start the runners and the list, then call `ready(port, rows)`."""
    platform, rows, pending = platforms.Platform(lag_s=0.2), [], []

    def listening(port, runner):
        rows.append(row_of(runner, port.getHost().port))

    number = 0
    for pools in POOLS.values():
        for pool, many, room in pools:
            for n in range(many):
                number += 1
                runner = Runner(f"{pool}{n + 1}", f"i{number}", pool, "abc"[n % 3], room, seed + number)
                endpoint = TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1", backlog=512)
                pending.append(endpoint.listen(build(reactor, runner, notes)).addCallback(listening, runner))
    endpoint = TCP4ServerEndpoint(reactor, 0, interface="127.0.0.1")

    def up(port):
        platforms.show(platform, sorted(rows, key=lambda r: r["name"]))
        ready(port.getHost().port, rows)

    endpoint.listen(platforms.build(platform)).addCallback(up)


@cappa.command(name="backs", help="Stand-in runners and the platform's runner list, in one process.")
class Backs(Struct, kw_only=True):
    """Arguments of the command."""

    notes: Annotated[str, cappa.Arg(help="file that the runners' notes go to")]
    seed: Annotated[int, cappa.Arg(long=True, help="seed of the stand-ins")] = 1


def main():
    """Run the command line; returns the exit status."""
    command = cappa.parse(Backs)

    def ready(port, rows):
        sys.stdout.buffer.write(json.encode({"list": port, "runners": rows}) + b"\n")
        sys.stdout.flush()

    raise_(command.seed, Notes(command.notes), ready)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
