"""A daemon whose wall clock jumps by the seconds that a file holds."""

import os
import time

REAL, SKEW = time.time, os.environ["FROSTPOST_SKEW"]


def jumped():
    """Return the wall clock with the jump."""
    try:
        with open(SKEW) as file:
            return REAL() + float(file.read() or 0)
    except (OSError, ValueError):
        return REAL()


def main():
    """Run the daemon; returns its exit status."""
    time.time = jumped
    import cappa

    from frostpost.app.arguments import Serve
    from frostpost.app.serve import serve

    return serve(cappa.parse(Serve))


if __name__ == "__main__":
    raise SystemExit(main())
