"""Structured logging to standard error: one event per line, with named fields, as JSON or as text.

By default text on a terminal, otherwise JSON. Based on the standard library's logging, which asyncio imports
anyway; structlog took 4.7 MB and 0.1 s at each start.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, TextIO

import msgspec

from sprucenotch import settings

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
ROOT = logging.getLogger("sprucenotch")


def event(log: logging.Logger, level: int, name: str, /, **fields: Any) -> None:
    """Log an event. Its name is constant; variable values go into the fields."""
    if log.isEnabledFor(level):
        log.log(level, name, extra={"fields": fields})


class JsonLines(logging.Formatter):
    """Formats a record as a JSON object: time (UTC), level, part, event, and the fields of the event."""

    def format(self, record: logging.LogRecord) -> str:
        clock = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        entry: dict[str, Any] = {
            "time": f"{clock}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(), "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
        }  # fmt: skip
        fields = getattr(record, "fields", {})
        entry |= {name: value for name, value in fields.items() if name not in entry}
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(entry, enc_hook=str).decode()


class TextLines(logging.Formatter):
    """Formats a record as text for a terminal: local time, level, event, fields as name=value."""

    def format(self, record: logging.LogRecord) -> str:
        clock = time.strftime("%H:%M:%S", time.localtime(record.created))
        fields = "".join(
            f" {name}={_format_value(value)}" for name, value in getattr(record, "fields", {}).items()
        )
        line = f"{clock} {record.levelname.lower():<7} {record.getMessage()}{fields}"
        return line + ("\n" + self.formatException(record.exc_info) if record.exc_info else "")


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.3g}"
    if isinstance(value, dict):
        return ",".join(f"{name}:{_format_value(part)}" for name, part in value.items())
    if isinstance(value, list | tuple):
        return "/".join(map(_format_value, value))
    text = str(value)
    return f'"{text}"' if " " in text else text


def configure_logging(config: settings.Log) -> None:
    """Apply the logging configuration."""
    if not ROOT.handlers:
        ROOT.addHandler(LogHandler(sys.stderr))
        ROOT.propagate = False
    readable = config.form == "text" or (config.form == "auto" and sys.stderr.isatty())
    for handler in ROOT.handlers:
        handler.setFormatter(TextLines() if readable else JsonLines())
    set_level(config.level)


def set_level(name: str) -> None:
    """Log events of at least this level. Raises KeyError for an unknown level."""
    ROOT.setLevel(LEVELS[name])


def level() -> str:
    """Return the name of the current level."""
    return next((name for name, number in LEVELS.items() if number == ROOT.level), "info")


def toggle_debug(configured: str) -> None:
    """Switch to level debug, or back to the configured level."""
    set_level(configured if level() == "debug" else "debug")
    event(ROOT, logging.WARNING, "log level", now=level())


class LogHandler(logging.StreamHandler[TextIO]):
    """Writes to standard error. A line that cannot be written, for example on a full disk, is dropped and
    counted; the standard handler would print a traceback for each failure to the same place."""

    lost = 0

    def handleError(self, record: logging.LogRecord) -> None:
        LogHandler.lost += 1


class AccessLog:
    """Logs a sample of the completed requests, evenly spread over time: at most `per_s` a second, each with
    the number of requests skipped since the last."""

    def __init__(self, per_s: float) -> None:
        self.on = per_s > 0
        self._gap = int(1e9 / per_s) if self.on else 0
        self._next = 0
        self._passed_over = 0
        self._log = logging.getLogger("sprucenotch.access")

    def should_log(self, now: int) -> bool:
        """Whether to log a request that completes at `now`, in nanoseconds."""
        if now >= self._next:
            self._next = now + self._gap
            return True
        self._passed_over += 1
        return False

    def tell(self, **fields: Any) -> None:
        """Log a request."""
        passed_over, self._passed_over = self._passed_over, 0
        event(self._log, logging.INFO, "request", **fields, passed_over=passed_over)
