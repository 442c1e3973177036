"""Ask one daemon over HTTP, and print what comes back."""

import sys
import urllib.error
import urllib.request

from expression import Error, Ok
from msgspec import DecodeError, Struct, json

DONE, FOUND, UNREACHED, REFUSED, MISUSED = 0, 1, 2, 3, 64


class Door(Struct, frozen=True):
    """The HTTP address of a daemon."""

    address: str


class Unreached(Struct, frozen=True):
    """No daemon answers at that address."""

    door: str
    why: str


class Refused(Struct, frozen=True):
    """The daemon refused the request."""

    status: int
    error: dict


def ask(door, path, method="GET", document=None, headers=None, wait_s=30):
    """Send a request; Ok(decoded JSON) or Error."""
    data = None if document is None else json.encode(document)
    request = urllib.request.Request(
        f"http://{door.address}{path}",
        data=data,
        method=method,
        headers={"content-type": "application/json", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=wait_s) as response:
            return Ok(json.decode(response.read()))
    except urllib.error.HTTPError as error:
        try:
            said = json.decode(error.read())["error"]
        except (DecodeError, KeyError, TypeError):
            said = {"type": "Unreadable", "text": f"status {error.code}"}
        return Error(Refused(error.code, said))
    except (OSError, DecodeError) as error:
        return Error(Unreached(door.address, str(getattr(error, "reason", error))))


def say(command, document, text):
    """Print a result as JSON or as text, as the command asks."""
    print(json.format(json.encode(document), indent=2).decode() if command.json else text)


def fail(command, error):
    """Print an error to standard error and return the exit status."""
    if isinstance(error, Unreached):
        print(f"Unreached: {error.door}: {error.why}", file=sys.stderr)
        return UNREACHED
    said = error.error
    print(f"{said.get('type')}: {said.get('text', '')}", file=sys.stderr)
    for one in said.get("errors", ()):
        path, text = (one["path"], one["text"]) if isinstance(one, dict) else one
        print(f"  {path}: {text}", file=sys.stderr)
    return REFUSED
