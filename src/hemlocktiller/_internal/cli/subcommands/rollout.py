"""Waits until a configuration version is in force at all processes."""

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


class LaggingProcess(NamedTuple):
    """A process that does not report the expected version yet.

    Attributes:
        name: Name of the process; `store` if the store, which lists the
            processes, did not answer.
        reason: The version it reports, or why it reports none.
    """

    name: str
    reason: str


async def wait_for_version(
    context: command_context.CommandContext, version: int, timeout_s: float
) -> exit_codes.ExitCode:
    """Waits until all processes report a version or a higher one.

    Args:
        context: Context of the subcommand.
        version: Version of the configuration.
        timeout_s: Maximum wait.

    Returns:
        `DONE`, or `INCOMPLETE` after printing the lagging processes.
    """
    deadline_s = context.reactor.seconds() + timeout_s
    while lagging := await _fetch_lagging_processes(context, version):
        if context.reactor.seconds() >= deadline_s:
            for process in lagging:
                output.print_to_stderr(f"{process.name}: {process.reason}")
            return exit_codes.ExitCode.INCOMPLETE
        await task.deferLater(context.reactor, POLL_INTERVAL_S)
    output.print_to_stderr(f"version {version} is in force at every process")
    return exit_codes.ExitCode.DONE


async def _fetch_lagging_processes(
    context: command_context.CommandContext, version: int
) -> list[LaggingProcess]:
    """Asks all processes for their version; returns the lagging ones."""
    try:
        processes = await admin_client.find_processes(context)
    except exceptions.StoreUnavailable as error:
        return [LaggingProcess("store", f"can't list the processes: {error}")]
    responses = await admin_client.request_all(context, processes, STATUS_PATH)
    return lagging_processes(responses, version)


def lagging_processes(
    responses: list[admin_client.AdminResponse], version: int
) -> list[LaggingProcess]:
    """Returns the processes that do not report a version or a higher one."""
    lagging = []
    for response in responses:
        if response.problem:
            lagging.append(
                LaggingProcess(response.process.name, response.problem)
            )
        elif not _has_version(response.body, version):
            reported_version = response.body.get(VERSION_FIELD, "none")
            reason = f"reports version {reported_version}"
            lagging.append(LaggingProcess(response.process.name, reason))
    return lagging


def _has_version(body: dict[str, Any], version: int) -> bool:
    """Returns whether a status reports a version or a higher one."""
    reported_version = body.get(VERSION_FIELD)
    return isinstance(reported_version, int) and reported_version >= version
