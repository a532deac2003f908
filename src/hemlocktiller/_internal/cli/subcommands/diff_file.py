"""The subcommand `diff`."""

import dataclasses
from pathlib import Path
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import differences
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output


@cappa.command(
    name="diff", help="Shows what a file would change in the store."
)
@dataclasses.dataclass
class Diff:
    """Command line of `diff`."""

    file: Annotated[Path, cappa.Arg(help="Plans and allowances.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Diff, context: command_context.Session
) -> exit_codes.ExitCode:
    """Prints the changes from the store to a file."""
    document = config_versions.load_or_note(command.file)
    if document is None:
        return exit_codes.ExitCode.FINDINGS
    stored = await config_versions.read(context)
    changes = differences.between(stored.document, document)
    if command.json:
        shown = differences.as_json(changes)
        output.result({"version": stored.version, "changes": shown})
    else:
        differences.show(f"against version {stored.version}", changes)
    return exit_codes.ExitCode.DONE
