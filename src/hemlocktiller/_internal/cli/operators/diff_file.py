"""The subcommand `diff`."""

import dataclasses
from pathlib import Path
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.operators import current
from hemlocktiller._internal.cli.operators import differences
from hemlocktiller._internal.cli.operators import exits
from hemlocktiller._internal.cli.operators import output
from hemlocktiller._internal.cli.operators import session


@cappa.command(
    name="diff", help="Shows what a file would change in the store."
)
@dataclasses.dataclass
class Diff:
    """Command line of `diff`."""

    file: Annotated[Path, cappa.Arg(help="Plans and allowances.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(command: Diff, context: session.Session) -> exits.ExitCode:
    """Prints the changes from the store to a file."""
    document = current.load_or_note(command.file)
    if document is None:
        return exits.ExitCode.FINDINGS
    stored = await current.read(context)
    changes = differences.between(stored.document, document)
    if command.json:
        shown = differences.as_json(changes)
        output.result({"version": stored.version, "changes": shown})
    else:
        differences.show(f"against version {stored.version}", changes)
    return exits.ExitCode.DONE
