import sys

from absl import logging
from msgspec import json


def say(kind, **facts):
    logging.info("%s", json.encode({"kind": kind, **facts}).decode())


class Lines(logging.PythonFormatter):
    def format(self, record):
        text = record.getMessage()
        body = text if text.startswith("{") else json.encode({"kind": "note", "text": text}).decode()
        return f'{{"at_ms":{int(record.created * 1000)},"level":"{record.levelname}",{body[1:]}'


def begin():
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stderr
    handler.setFormatter(Lines())
