"""The subcommand `forget`."""

import dataclasses
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.operators import exits
from hemlocktiller._internal.cli.operators import output
from hemlocktiller._internal.cli.operators import pages
from hemlocktiller._internal.cli.operators import rollout
from hemlocktiller._internal.cli.operators import session


@cappa.command(
    name="forget",
    help="Deletes the object of a process that ended without a drain, so"
    " that nobody looks for it any more.",
)
@dataclasses.dataclass
class Forget:
    """Command line of `forget`."""

    name: Annotated[str, cappa.Arg(help="Name of the process.")]


async def run(command: Forget, context: session.Session) -> exits.ExitCode:
    """Deletes what is registered under a name, unless it answers."""
    code = exits.ExitCode.NOT_FOUND
    for kind in pages.ROLES:
        stored = await context.store.read(kind, command.name)
        if stored is None:
            continue
        process = pages.process_of(stored)
        answer = await pages.ask(context, process, rollout.STATUS_PATH)
        if not answer.problem:
            output.note(f"{command.name} answers; see `drain`")
            return exits.ExitCode.INCOMPLETE
        await context.store.delete(kind, command.name, stored.version)
        print(f"{command.name}: {process.role} forgotten")
        code = exits.ExitCode.DONE
    if code == exits.ExitCode.NOT_FOUND:
        output.note(f"no process of the name {command.name!r} is known")
    return code
