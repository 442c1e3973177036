"""Structured logging: one JSON object per line, on standard error."""

import sys

from absl import logging
from msgspec import json


def log_event(kind, **fields):
    """Log an event with its fields."""
    logging.info("%s", json.encode({"kind": kind, **fields}).decode())


class JsonFormatter(logging.PythonFormatter):
    """Formats each log record as one line of JSON."""

    def format(self, record):
        """Return the line; a message that isn't JSON, such as one of a library, becomes the text of a note."""
        text = record.getMessage()
        body = text if text.startswith("{") else json.encode({"kind": "note", "text": text}).decode()
        return f'{{"at_ms":{int(record.created * 1000)},"level":"{record.levelname}",{body[1:]}'


def start_logging():
    """Send log lines to standard error."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(JsonFormatter())
