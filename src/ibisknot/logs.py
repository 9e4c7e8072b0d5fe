"""Structured log lines through absl.logging."""

from collections.abc import Callable
import datetime
import logging as standard_logging
import sys
from typing import Any

from absl import flags
from absl import logging
import msgspec

from ibisknot import settings

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_LOGGERS = {
    "debug": logging.debug,
    "info": logging.info,
    "warning": logging.warning,
    "error": logging.error,
}


def start(log: settings.Log) -> None:
    """Sets level and destination of the process's log."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    standard_logging.getLogger("httpx").setLevel(standard_logging.WARNING)
    logging.set_verbosity(_LEVELS[log.level])
    handler = logging.get_absl_handler()
    handler.setFormatter(standard_logging.Formatter("%(message)s"))
    if log.file is not None:
        stream = open(log.file, "a", buffering=1, encoding="utf-8")  # noqa: PTH123, SIM115
        handler.python_handler.stream = stream
    else:
        handler.python_handler.stream = sys.stderr


LISTENERS: list[Callable[[dict[str, Any]], None]] = []
"""Called with each event's fields, such as the ring of recent events."""


def event(name: str, *, level: str = "info", **fields: Any) -> None:
    """Writes one line: the event's name and its fields as JSON."""
    now = datetime.datetime.now(datetime.UTC).isoformat()
    line = {"time": now, "level": level, "event": name, **fields}
    for listener in LISTENERS:
        listener(line)
    payload = msgspec.json.encode(line, enc_hook=str)
    _LOGGERS[level]("%s", payload.decode())
