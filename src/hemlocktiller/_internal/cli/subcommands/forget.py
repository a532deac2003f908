"""The subcommand `forget`."""

import dataclasses
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.subcommands import admin_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.cli.subcommands import rollout


@cappa.command(
    name="forget",
    help="Deletes the object of a process that ended without a drain, so"
    " that nobody looks for it any more.",
)
@dataclasses.dataclass
class Forget:
    """Command line of `forget`."""

    name: Annotated[str, cappa.Arg(help="Name of the process.")]


async def run(
    command: Forget, context: command_context.Session
) -> exit_codes.ExitCode:
    """Deletes what is registered under a name, unless it answers."""
    code = exit_codes.ExitCode.NOT_FOUND
    for kind in admin_client.ROLES:
        stored = await context.store.read(kind, command.name)
        if stored is None:
            continue
        process = admin_client.process_of(stored)
        answer = await admin_client.ask(context, process, rollout.STATUS_PATH)
        if not answer.problem:
            output.note(f"{command.name} answers; see `drain`")
            return exit_codes.ExitCode.INCOMPLETE
        await context.store.delete(kind, command.name, stored.version)
        print(f"{command.name}: {process.role} forgotten")
        code = exit_codes.ExitCode.DONE
    if code == exit_codes.ExitCode.NOT_FOUND:
        output.note(f"no process of the name {command.name!r} is known")
    return code
