"""The subcommand `drain`."""

import dataclasses
from typing import Annotated

import cappa
from twisted.internet import task

from hemlocktiller._internal.cli.subcommands import admin_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.cli.subcommands import rollout

DRAIN_PATH = "/drain"
DEFAULT_WAIT_TIMEOUT_S = 150.0
POLL_INTERVAL_S = 0.25


@cappa.command(
    name="drain",
    help="Shuts down a process gracefully: it finishes its requests and"
    " accepts no new ones.",
)
@dataclasses.dataclass
class Drain:
    """Command line of `drain`."""

    name: Annotated[str, cappa.Arg(help="Name of the process.")]
    wait: Annotated[
        bool,
        cappa.Arg(long="--wait", help="Wait until the process has exited."),
    ] = False
    wait_timeout_s: Annotated[
        float,
        cappa.Arg(long="--wait-timeout-s", help="Maximum wait, in seconds."),
    ] = DEFAULT_WAIT_TIMEOUT_S


async def run(
    command: Drain, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Starts a graceful shutdown of a process."""
    process = await _find_process(command.name, context)
    if process is None:
        output.print_to_stderr(f"no process named {command.name!r} was found")
        return exit_codes.ExitCode.NOT_FOUND
    response = await admin_client.request_page(
        context, process, DRAIN_PATH, "POST"
    )
    if (
        response.problem
        or response.status >= admin_client.FIRST_NON_SUCCESS_STATUS
    ):
        problem = response.problem or f"HTTP status {response.status}"
        output.print_to_stderr(f"{command.name}: {problem}")
        return exit_codes.ExitCode.INCOMPLETE
    print(f"{command.name}: draining")
    if not command.wait:
        return exit_codes.ExitCode.DONE
    return await _wait_until_ended(command, process, context)


async def _find_process(
    name: str, context: command_context.CommandContext
) -> admin_client.Process | None:
    """Finds a process by name; None if there is none.

    Processes listed in the settings by URL only are asked for their names.
    """
    processes = await admin_client.find_processes(context)
    for process in processes:
        if process.name == name:
            return process
    url_only = [process for process in processes if not process.role]
    responses = await admin_client.request_all(
        context, url_only, rollout.STATUS_PATH
    )
    for response in responses:
        if response.body.get("name") == name:
            return response.process
    return None


async def _wait_until_ended(
    command: Drain,
    process: admin_client.Process,
    context: command_context.CommandContext,
) -> exit_codes.ExitCode:
    """Waits until the admin pages of a process stop answering."""
    deadline_s = context.reactor.seconds() + command.wait_timeout_s
    while True:
        response = await admin_client.request_page(
            context, process, rollout.STATUS_PATH
        )
        if not response.was_received:
            print(f"{command.name}: ended")
            return exit_codes.ExitCode.DONE
        if context.reactor.seconds() >= deadline_s:
            output.print_to_stderr(f"{command.name}: still running")
            return exit_codes.ExitCode.INCOMPLETE
        await task.deferLater(context.reactor, POLL_INTERVAL_S)
