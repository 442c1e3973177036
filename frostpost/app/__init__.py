"""Assembly and command of a daemon with the native HTTP API."""
