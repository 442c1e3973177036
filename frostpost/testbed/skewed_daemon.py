"""Run a daemon whose wall clock is offset by the seconds in the file FROSTPOST_SKEW."""

import os
import time

REAL_TIME, SKEW_FILE = time.time, os.environ["FROSTPOST_SKEW"]


def skewed_time():
    """Return the wall clock time with the offset; an unreadable file means no offset."""
    try:
        with open(SKEW_FILE) as file:
            return REAL_TIME() + float(file.read() or 0)
    except (OSError, ValueError):
        return REAL_TIME()


def main():
    """Run the daemon; returns its exit status."""
    time.time = skewed_time
    import cappa

    from frostpost.app.arguments import Serve
    from frostpost.app.serve import serve

    return serve(cappa.parse(Serve))


if __name__ == "__main__":
    raise SystemExit(main())
