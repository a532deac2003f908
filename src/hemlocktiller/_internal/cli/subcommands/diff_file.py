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
    name="diff", help="Shows what applying a file would change in the store."
)
@dataclasses.dataclass
class Diff:
    """Command line of `diff`."""

    file: Annotated[Path, cappa.Arg(help="File with plans and allowances.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Diff, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Prints the changes from the stored configuration to a file."""
    document = config_versions.load_or_print_findings(command.file)
    if document is None:
        return exit_codes.ExitCode.FINDINGS
    stored = await config_versions.read_stored(context)
    changes = differences.changes_between(stored.document, document)
    if command.json:
        printed_changes = differences.changes_as_json(changes)
        output.print_json(
            {"version": stored.version, "changes": printed_changes}
        )
    else:
        differences.print_changes(f"against version {stored.version}", changes)
    return exit_codes.ExitCode.DONE
