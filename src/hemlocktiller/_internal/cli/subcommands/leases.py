"""The subcommand `leases`."""

import dataclasses
import json
from typing import Annotated
from typing import Any

import cappa

from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output

LEASE_KIND = "lease"
HEADINGS = ["LEASE", "FENCING NUMBER", "STATE"]


@cappa.command(
    name="leases",
    help="Shows the control leases, their holders and fencing numbers.",
)
@dataclasses.dataclass
class Leases:
    """Command line of `leases`."""

    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Leases, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Prints the leases in the store."""
    listing = await context.store.read_all(LEASE_KIND)
    if command.json:
        lease_objects = [
            {"lease": item.name, "version": item.version, "state": item.value}
            for item in listing.objects
        ]
        output.print_json({"leases": lease_objects})
    else:
        rows = [
            [item.name, str(item.version), _state_text(item.value)]
            for item in listing.objects
        ]
        output.print_table([HEADINGS, *rows])
    return exit_codes.ExitCode.DONE


def _state_text(value: Any) -> str:
    """Formats the value of a lease object as text."""
    if not isinstance(value, dict):
        return json.dumps(value)
    return " ".join(f"{key}={json.dumps(item)}" for key, item in value.items())
