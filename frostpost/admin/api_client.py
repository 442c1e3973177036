"""HTTP client for a daemon's API, and output and exit statuses of the operator commands."""

import sys
import urllib.error
import urllib.request

from expression import Error, Ok
from msgspec import DecodeError, Struct, json

EXIT_OK, EXIT_FOUND, EXIT_UNREACHABLE, EXIT_REFUSED, EXIT_USAGE = 0, 1, 2, 3, 64


class DaemonAddress(Struct, frozen=True):
    """The HTTP address of a daemon."""

    address: str


class Unreachable(Struct, frozen=True):
    """The daemon at an address could not be reached."""

    daemon_address: str
    reason: str


class Refused(Struct, frozen=True):
    """The daemon refused the request."""

    status: int
    error: dict


def send_request(daemon, path, method="GET", document=None, headers=None, timeout_s=30):
    """Send a request. Returns Ok with the decoded JSON, or Error with Unreachable or Refused."""
    data = None if document is None else json.encode(document)
    request = urllib.request.Request(
        f"http://{daemon.address}{path}",
        data=data,
        method=method,
        headers={"content-type": "application/json", **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Ok(json.decode(response.read()))
    except urllib.error.HTTPError as error:
        try:
            detail = json.decode(error.read())["error"]
        except (DecodeError, KeyError, TypeError):
            detail = {"type": "Unreadable", "text": f"status {error.code}"}
        return Error(Refused(error.code, detail))
    except (OSError, DecodeError) as error:
        return Error(Unreachable(daemon.address, str(getattr(error, "reason", error))))


def print_result(command, document, text):
    """Print a result as JSON if the command has `--json`, else as text."""
    print(json.format(json.encode(document), indent=2).decode() if command.json else text)


def print_error(command, error):
    """Print an error to standard error. Returns the exit status."""
    if isinstance(error, Unreachable):
        print(f"Unreached: {error.daemon_address}: {error.reason}", file=sys.stderr)
        return EXIT_UNREACHABLE
    detail = error.error
    print(f"{detail.get('type')}: {detail.get('text', '')}", file=sys.stderr)
    for entry in detail.get("errors", ()):
        path, text = (entry["path"], entry["text"]) if isinstance(entry, dict) else entry
        print(f"  {path}: {text}", file=sys.stderr)
    return EXIT_REFUSED
