"""Follows a configuration until it is in force at every process."""

from typing import Any
from typing import NamedTuple

from twisted.internet import task

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli.subcommands import admin_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output

STATUS_PATH = "/status"
POLL_INTERVAL_S = 0.25
VERSION_FIELD = "config_version"


class Lag(NamedTuple):
    """A process that does not report a version yet.

    Attributes:
        name: Name of the process, or of what can't be asked for them.
        reason: What it reports instead.
    """

    name: str
    reason: str


async def wait(
    context: command_context.Session, version: int, timeout_s: float
) -> exit_codes.ExitCode:
    """Waits until every process reports a version or a higher one.

    Args:
        context: What the subcommand works with.
        version: Version of the configuration.
        timeout_s: Longest wait.

    Returns:
        `DONE`, or `INCOMPLETE` after a note for each process that lags.
    """
    deadline_s = context.reactor.seconds() + timeout_s
    while behind := await _lags_now(context, version):
        if context.reactor.seconds() >= deadline_s:
            for lag in behind:
                output.note(f"{lag.name}: {lag.reason}")
            return exit_codes.ExitCode.INCOMPLETE
        await task.deferLater(context.reactor, POLL_INTERVAL_S)
    output.note(f"version {version} is in force at every process")
    return exit_codes.ExitCode.DONE


async def _lags_now(
    context: command_context.Session, version: int
) -> list[Lag]:
    """Asks all processes; returns those that do not report a version."""
    try:
        processes = await admin_client.find(context)
    except exceptions.StoreUnavailable as error:
        return [Lag("store", f"can't name the processes: {error}")]
    answers = await admin_client.ask_all(context, processes, STATUS_PATH)
    return lags(answers, version)


def lags(answers: list[admin_client.Answer], version: int) -> list[Lag]:
    """Returns the processes that do not report a version yet."""
    found = []
    for answer in answers:
        if answer.problem:
            found.append(Lag(answer.process.name, answer.problem))
        elif not _reached(answer.body, version):
            reported = answer.body.get(VERSION_FIELD, "none")
            reason = f"reports version {reported}"
            found.append(Lag(answer.process.name, reason))
    return found


def _reached(body: dict[str, Any], version: int) -> bool:
    """Tells whether a status reports a version or a higher one."""
    reported = body.get(VERSION_FIELD)
    return isinstance(reported, int) and reported >= version
