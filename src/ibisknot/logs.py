"""Structured log lines through absl.logging."""

import collections
from collections.abc import Callable
import datetime
import logging as standard_logging
import os
import sys
import time
from typing import Any

from absl import flags
from absl import logging
import msgspec

from ibisknot import settings

_VERBOSITIES = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_LOG_FUNCTIONS = {
    "debug": logging.debug,
    "info": logging.info,
    "warning": logging.warning,
    "error": logging.error,
}


def start(log_settings: settings.Log) -> None:
    """Sets level and destination of the process's log."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    standard_logging.getLogger("httpx").setLevel(standard_logging.WARNING)
    logging.set_verbosity(_VERBOSITIES[log_settings.level])
    handler = logging.get_absl_handler()
    handler.setFormatter(standard_logging.Formatter("%(message)s"))
    if log_settings.file is not None:
        stream = open(log_settings.file, "a", buffering=1, encoding="utf-8")  # noqa: PTH123, SIM115
        handler.python_handler.stream = stream
    else:
        handler.python_handler.stream = sys.stderr


MAX_BUFFERED_LINES = 2000
"""Lines that wait to be written; newer ones are dropped and counted."""
MAX_LINES_PER_S = 400
"""Lines of a process over a second; more are dropped and counted."""


class _BoundedHandler(standard_logging.Handler):
    """Writes to standard output and never waits for its reader."""

    def __init__(self) -> None:
        super().__init__()
        self.descriptor = sys.stdout.fileno()
        self.buffer: collections.deque[bytes] = collections.deque()
        self.current_second = 0
        self.lines_in_second = 0
        self.dropped = 0
        os.set_blocking(self.descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Writes one line, or drops it when there are too many."""
        second = int(time.monotonic())
        if second != self.current_second:
            self.current_second = second
            self.lines_in_second = 0
        self.lines_in_second += 1
        is_warning = record.levelno >= standard_logging.WARNING
        if self.lines_in_second > MAX_LINES_PER_S and not is_warning:
            self.dropped += 1
            return
        if len(self.buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            line = f'{{"event":"log_lines_dropped","count":{self.dropped}}}\n'
            self.buffer.append(line.encode())
            self.dropped = 0
        self.buffer.append(record.getMessage().encode() + b"\n")
        self.write_buffered()

    def write_buffered(self) -> None:
        """Writes what the reader takes without waiting."""
        while self.buffer:
            line = self.buffer[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.buffer.clear()
                return
            if written < len(line):
                self.buffer[0] = line[written:]
                return
            self.buffer.popleft()


_BOUNDED_HANDLERS: list[_BoundedHandler] = []


def start_bounded() -> None:
    """Writes the log to standard output, bounded and without blocking."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = _BoundedHandler()
    _BOUNDED_HANDLERS.append(handler)
    root = logging.get_absl_logger()
    root.handlers = [handler]
    root.propagate = False


def flush() -> None:
    """Writes what still waits, as far as the reader takes it."""
    for handler in _BOUNDED_HANDLERS:
        handler.write_buffered()


LISTENERS: list[Callable[[dict[str, Any]], None]] = []
"""Called with each event's fields, such as the ring of recent events."""


def event(name: str, *, level: str = "info", **fields: Any) -> None:
    """Writes one line: the event's name and its fields as JSON."""
    now = datetime.datetime.now(datetime.UTC).isoformat()
    line = {"time": now, "level": level, "event": name, **fields}
    for listener in LISTENERS:
        listener(line)
    payload = msgspec.json.encode(line, enc_hook=str)
    _LOG_FUNCTIONS[level]("%s", payload.decode())
