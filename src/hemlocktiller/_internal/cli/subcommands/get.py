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
    help="Gets the configuration from the store, as the base of an edit.",
)
@dataclasses.dataclass
class Get:
    """Command line of `get`."""

    file: Annotated[
        Path | None,
        cappa.Arg(
            help="File to write; its version is saved in FILE.base for"
            " `apply`. Without a file, the configuration is printed."
        ),
    ] = None
    force: Annotated[
        bool, cappa.Arg(long="--force", help="Overwrite an existing file.")
    ] = False
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Get, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Writes the stored configuration to a file, or prints it."""
    if command.file and command.file.exists() and not command.force:
        output.print_to_stderr(
            f"{command.file} already exists; pass --force to overwrite it"
        )
        return exit_codes.ExitCode.USAGE
    stored = await config_versions.read_stored(context)
    if command.file:
        config_versions.write_file_and_base(command.file, stored)
    if command.json:
        output.print_json(stored._asdict())
    elif command.file:
        print(f"{command.file}: version {stored.version}")
    else:
        print(f"// version {stored.version}")
        print(json.dumps(stored.document, indent=2, ensure_ascii=False))
    return exit_codes.ExitCode.DONE
