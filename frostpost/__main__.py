"""Entry point of `python -m frostpost`."""

import sys

from frostpost.command import main

if __name__ == "__main__":
    sys.exit(main())
