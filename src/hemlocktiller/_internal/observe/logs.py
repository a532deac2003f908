"""Log lines of a process: one line each, on standard error."""

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
    """Sends the log lines of this process to one stream.

    Twisted's own warnings and errors are passed on to the same stream; its
    informational events are dropped.

    Args:
        process_name: Name that each line carries.
        stream: Where to write; standard error if None.
        level: Lowest logbook level that is written.

    Returns:
        The handler, which `pop_application` takes away again.
    """
    handler = logbook.StreamHandler(stream or sys.stderr, level=level)
    handler.formatter = _line_formatter(process_name)
    handler.push_application()
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [_twisted_observer()], redirectStandardIO=False
    )
    return handler


def _line_formatter(process_name):
    """Returns a logbook formatter that writes a record on one line."""

    def format_record(record, handler):
        text = record.message
        if record.formatted_exception:
            text = f"{text}\n{record.formatted_exception}"
        return (
            f"{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
            f"{process_name} {record.channel}: {_one_line(text)}"
        )

    return format_record


def _one_line(text: str) -> str:
    """Escapes the line ends of a text."""
    return text.replace("\r", "\\r").replace("\n", "\\n")


def _twisted_observer():
    """Returns a Twisted log observer that writes to logbook."""
    log = logbook.Logger("twisted")

    def observe(event):
        level = _TWISTED_LEVELS.get(event.get("log_level"))
        if level is None:
            return
        text = twisted_logger.eventAsText(
            event, includeTimestamp=False, includeSystem=False
        )
        log.log(level, "{}", text)

    return observe
