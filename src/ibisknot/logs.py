"""Log events as JSON lines, written through absl.logging."""

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
    """Sets the level and the destination of the process's log."""
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
"""Largest number of buffered lines; newer ones are dropped and counted."""
MAX_LINES_PER_S = 400
"""Lines that a process may write in a second.

Further lines below level warning are dropped and counted.
"""


class _BoundedHandler(standard_logging.Handler):
    """Writes to standard output without blocking on its reader.

    Attributes:
        descriptor: File descriptor of standard output, non-blocking.
        buffer: Lines that are not yet written.
        current_second: Monotonic second that `lines_in_second` counts.
        lines_in_second: Lines in that second, with those dropped.
        dropped: Lines dropped since the last `log_lines_dropped` event.
    """

    def __init__(self) -> None:
        super().__init__()
        self.descriptor = sys.stdout.fileno()
        self.buffer: collections.deque[bytes] = collections.deque()
        self.current_second = 0
        self.lines_in_second = 0
        self.dropped = 0
        os.set_blocking(self.descriptor, False)

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Writes one line, or drops it if a limit is exceeded."""
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
        """Writes buffered lines until the pipe is full."""
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
    """Writes the log to standard output, rate-limited and non-blocking."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = _BoundedHandler()
    _BOUNDED_HANDLERS.append(handler)
    root = logging.get_absl_logger()
    root.handlers = [handler]
    root.propagate = False


def flush() -> None:
    """Writes buffered lines, as far as that is possible without blocking."""
    for handler in _BOUNDED_HANDLERS:
        handler.write_buffered()


LISTENERS: list[Callable[[dict[str, Any]], None]] = []
"""Functions called with each event's fields, such as `EventRing`'s."""


def event(name: str, *, level: str = "info", **fields: Any) -> None:
    """Writes one line: time, level, the event's name and its fields as JSON."""
    now = datetime.datetime.now(datetime.UTC).isoformat()
    line = {"time": now, "level": level, "event": name, **fields}
    for listener in LISTENERS:
        listener(line)
    payload = msgspec.json.encode(line, enc_hook=str)
    _LOG_FUNCTIONS[level]("%s", payload.decode())
