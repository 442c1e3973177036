import os
import time

REAL, SKEW = time.time, os.environ["FROSTPOST_SKEW"]


def jumped():
    try:
        with open(SKEW) as file:
            return REAL() + float(file.read() or 0)
    except (OSError, ValueError):
        return REAL()


def main():
    time.time = jumped
    from frostpost.daemon.main import main as orchard

    return orchard()


if __name__ == "__main__":
    raise SystemExit(main())
