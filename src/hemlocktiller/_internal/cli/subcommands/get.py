"""The subcommand `get`."""

import dataclasses
import json
from pathlib import Path
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output


@cappa.command(
    name="get",
    help="Gets the configuration in the store, to start an edit from.",
)
@dataclasses.dataclass
class Get:
    """Command line of `get`."""

    file: Annotated[
        Path | None,
        cappa.Arg(
            help="File to write; FILE.base beside it keeps the version"
            " for `apply`. Without it the configuration is printed."
        ),
    ] = None
    force: Annotated[
        bool, cappa.Arg(long="--force", help="Replace the file.")
    ] = False
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Get, context: command_context.Session
) -> exit_codes.ExitCode:
    """Writes or prints the configuration in the store."""
    if command.file and command.file.exists() and not command.force:
        output.note(f"{command.file} exists; see --force")
        return exit_codes.ExitCode.USAGE
    stored = await config_versions.read(context)
    if command.file:
        config_versions.write_edit(command.file, stored)
    if command.json:
        output.result(stored._asdict())
    elif command.file:
        print(f"{command.file}: version {stored.version}")
    else:
        print(f"// version {stored.version}")
        print(json.dumps(stored.document, indent=2, ensure_ascii=False))
    return exit_codes.ExitCode.DONE
