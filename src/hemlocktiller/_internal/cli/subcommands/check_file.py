"""The subcommand `check`."""

import dataclasses
from pathlib import Path
from typing import Annotated

import cappa

from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.schemas import config


@cappa.command(
    name="check", help="Validates a file without contacting the store."
)
@dataclasses.dataclass
class Check:
    """Command line of `check`."""

    file: Annotated[Path, cappa.Arg(help="File with plans and allowances.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


def run(command: Check) -> exit_codes.ExitCode:
    """Prints the findings of a file, or a summary if there are none."""
    loaded = config_versions.load(command.file)
    validation_findings = loaded.error if loaded.is_error() else []
    if command.json:
        output.print_json(
            {"findings": [item._asdict() for item in validation_findings]}
        )
    elif validation_findings:
        output.print_findings(str(command.file), validation_findings)
    else:
        print(f"{command.file}: no findings, {_summary(loaded.ok)}")
    return (
        exit_codes.ExitCode.FINDINGS
        if validation_findings
        else exit_codes.ExitCode.DONE
    )


def _summary(document: config.Config) -> str:
    """Returns the number of plans and workspaces in a document."""
    plans = document["plans"]
    workspace_count = sum(len(plan["workspaces"]) for plan in plans)
    return f"{len(plans)} plans, {workspace_count} workspaces"
