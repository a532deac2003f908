"""Logging setup of a process: one line per record, on stderr."""

import sys
from typing import TextIO

import logbook
from twisted import logger as twisted_logger

_TWISTED_LEVELS = {
    twisted_logger.LogLevel.warn: logbook.WARNING,
    twisted_logger.LogLevel.error: logbook.ERROR,
    twisted_logger.LogLevel.critical: logbook.CRITICAL,
}


def configure(
    process_name: str, stream: TextIO | None = None, level: str = "INFO"
) -> logbook.StreamHandler:
    """Sends the log records of this process to one stream.

    Warnings and errors that Twisted logs go to the same stream; its
    lower-level events are dropped.

    Args:
        process_name: Name of the process, written on each line.
        stream: Where to write; standard error if None.
        level: Minimum logbook level that is written.

    Returns:
        The handler; its `pop_application` removes it.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = _line_formatter(process_name)
    handler.push_application()
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [_twisted_observer()], redirectStandardIO=False
    )
    return handler


def _line_formatter(process_name):
    """Returns a logbook formatter that puts each record on one line."""

    def format_record(record, handler):
        text = record.message
        if record.formatted_exception:
            text = f"{text}\n{record.formatted_exception}"
        return (
            f"{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
            f"{process_name} {record.channel}: {_escape_line_breaks(text)}"
        )

    return format_record


def _escape_line_breaks(text: str) -> str:
    """Escapes line breaks, so that a record stays on one line."""
    return text.replace("\r", "\\r").replace("\n", "\\n")


def _twisted_observer():
    """Returns a Twisted log observer that forwards events to logbook."""
    log = logbook.Logger("twisted")

    def forward_to_logbook(event):
        level = _TWISTED_LEVELS.get(event.get("log_level"))
        if level is None:
            return
        text = twisted_logger.eventAsText(
            event, includeTimestamp=False, includeSystem=False
        )
        log.log(level, "{}", text)

    return forward_to_logbook
