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
    help="Deletes the registration of a process that ended without a drain,"
    " so that others stop trying to reach it.",
)
@dataclasses.dataclass
class Forget:
    """Command line of `forget`."""

    name: Annotated[str, cappa.Arg(help="Name of the process.")]


async def run(
    command: Forget, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Deletes the registrations of a name, unless its process answers."""
    code = exit_codes.ExitCode.NOT_FOUND
    for kind in admin_client.ROLES_BY_KIND:
        stored = await context.store.read(kind, command.name)
        if stored is None:
            continue
        process = admin_client.process_from_registration(stored)
        response = await admin_client.request_page(
            context, process, rollout.STATUS_PATH
        )
        if response.was_received:
            output.print_to_stderr(
                f"{command.name} still answers; use `drain`"
            )
            return exit_codes.ExitCode.INCOMPLETE
        await context.store.delete(kind, command.name, stored.version)
        print(f"{command.name}: {process.role} registration deleted")
        code = exit_codes.ExitCode.DONE
    if code == exit_codes.ExitCode.NOT_FOUND:
        output.print_to_stderr(
            f"no process named {command.name!r} is registered"
        )
    return code
