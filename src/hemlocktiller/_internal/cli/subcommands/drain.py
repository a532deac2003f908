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
WAIT_TIMEOUT_S = 150.0
POLL_INTERVAL_S = 0.25
FIRST_ERROR_STATUS = 300


@cappa.command(
    name="drain",
    help="Lets a process finish what it runs and end; it takes no new work.",
)
@dataclasses.dataclass
class Drain:
    """Command line of `drain`."""

    name: Annotated[str, cappa.Arg(help="Name of the process.")]
    wait: Annotated[
        bool, cappa.Arg(long="--wait", help="Wait until it has ended.")
    ] = False
    wait_timeout_s: Annotated[
        float,
        cappa.Arg(long="--wait-timeout-s", help="Longest wait, in seconds."),
    ] = WAIT_TIMEOUT_S


async def run(
    command: Drain, context: command_context.Session
) -> exit_codes.ExitCode:
    """Asks a process to end gracefully."""
    process = await _find(command.name, context)
    if process is None:
        output.note(f"no process of the name {command.name!r} is known")
        return exit_codes.ExitCode.NOT_FOUND
    answer = await admin_client.ask(context, process, DRAIN_PATH, "POST")
    if answer.problem or answer.status >= FIRST_ERROR_STATUS:
        problem = answer.problem or f"HTTP status {answer.status}"
        output.note(f"{command.name}: {problem}")
        return exit_codes.ExitCode.INCOMPLETE
    print(f"{command.name}: draining")
    if not command.wait:
        return exit_codes.ExitCode.DONE
    return await _wait_for_end(command, process, context)


async def _find(
    name: str, context: command_context.Session
) -> admin_client.Process | None:
    """Returns the process of a name; None if there is none."""
    processes = await admin_client.find(context)
    for process in processes:
        if process.name == name:
            return process
    unnamed = [process for process in processes if not process.role]
    answers = await admin_client.ask_all(context, unnamed, rollout.STATUS_PATH)
    for answer in answers:
        if answer.body.get("name") == name:
            return answer.process
    return None


async def _wait_for_end(
    command: Drain,
    process: admin_client.Process,
    context: command_context.Session,
) -> exit_codes.ExitCode:
    """Waits until a process can't be reached any more."""
    deadline_s = context.reactor.seconds() + command.wait_timeout_s
    while True:
        answer = await admin_client.ask(context, process, rollout.STATUS_PATH)
        if answer.problem:
            print(f"{command.name}: ended")
            return exit_codes.ExitCode.DONE
        if context.reactor.seconds() >= deadline_s:
            output.note(f"{command.name}: still runs")
            return exit_codes.ExitCode.INCOMPLETE
        await task.deferLater(context.reactor, POLL_INTERVAL_S)
