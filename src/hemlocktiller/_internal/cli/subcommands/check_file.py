"""The subcommand `check`."""

import dataclasses
from pathlib import Path
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.schemas import config


@cappa.command(name="check", help="Checks a file without the store.")
@dataclasses.dataclass
class Check:
    """Command line of `check`."""

    file: Annotated[Path, cappa.Arg(help="Plans and allowances.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


def run(command: Check) -> exit_codes.ExitCode:
    """Prints all findings of a file, or how much is in it."""
    loaded = config_versions.load(command.file)
    found = loaded.error if loaded.is_error() else []
    if command.json:
        output.result({"findings": [item._asdict() for item in found]})
    elif found:
        output.notes_of(str(command.file), found)
    else:
        print(f"{command.file}: no findings, {_summary(loaded.ok)}")
    return exit_codes.ExitCode.FINDINGS if found else exit_codes.ExitCode.DONE


def _summary(document: config.Config) -> str:
    """Returns how much is in a document."""
    plans = document["plans"]
    workspace_count = sum(len(plan["workspaces"]) for plan in plans)
    return f"{len(plans)} plans, {workspace_count} workspaces"
