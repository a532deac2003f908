"""The operators' program, `hemlocktiller`."""

from collections.abc import Coroutine
import dataclasses
from pathlib import Path
import sys
from typing import Annotated
from typing import Any

import cappa
from twisted.internet import defer
from twisted.internet import task

import hemlocktiller
from hemlocktiller._internal import exceptions
from hemlocktiller._internal import monotonic_clock
from hemlocktiller._internal import settings
from hemlocktiller._internal.cli.subcommands import apply
from hemlocktiller._internal.cli.subcommands import check_file
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import diff_file
from hemlocktiller._internal.cli.subcommands import drain
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import explain
from hemlocktiller._internal.cli.subcommands import forget
from hemlocktiller._internal.cli.subcommands import get
from hemlocktiller._internal.cli.subcommands import leases
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.cli.subcommands import status

DEFAULT_SETTINGS_PATH = Path("hemlocktiller.json")
SETTINGS_SCHEMA_NAME = "operator_settings"
RUNNERS = {
    apply.Apply: apply.run,
    diff_file.Diff: diff_file.run,
    drain.Drain: drain.run,
    explain.Explain: explain.run,
    forget.Forget: forget.run,
    get.Get: get.run,
    leases.Leases: leases.run,
    status.Status: status.run,
}
_EXIT_CODE_LIST = "\n".join(
    f"- {code.value}: {meaning}"
    for code, meaning in exit_codes.MEANINGS.items()
)


@cappa.command(
    name="hemlocktiller",
    help="Edits plans and allowances, and shows the state of the system.",
    description=f"Exit codes:\n\n{_EXIT_CODE_LIST}",
)
@dataclasses.dataclass
class CommandLine:
    """Command line of `hemlocktiller`."""

    command: cappa.Subcommands[
        apply.Apply
        | check_file.Check
        | diff_file.Diff
        | drain.Drain
        | explain.Explain
        | forget.Forget
        | get.Get
        | leases.Leases
        | status.Status
    ]
    settings: Annotated[
        Path,
        cappa.Arg(
            long="--settings",
            propagate=True,
            help="Settings file, JSON with comments.",
        ),
    ] = DEFAULT_SETTINGS_PATH


def main() -> None:
    """Runs one subcommand and exits with its exit code."""
    command_line = cappa.parse(
        CommandLine, version=hemlocktiller.__version__, completion=False
    )
    command = command_line.command
    if isinstance(command, check_file.Check):
        sys.exit(check_file.run(command))
    loaded_settings = settings.load_or_exit(
        command_line.settings, SETTINGS_SCHEMA_NAME
    )
    task.react(_run_on_reactor, (command, loaded_settings))


def _run_on_reactor(
    reactor: Any, command: Any, loaded_settings: dict[str, Any]
) -> defer.Deferred[None]:
    """Creates the context of a subcommand and starts the subcommand."""
    monotonic_clock.use_monotonic_clock(reactor)
    context = command_context.create(loaded_settings, reactor)
    subcommand_run = RUNNERS[type(command)](command, context)
    return defer.Deferred.fromCoroutine(_run_and_exit(subcommand_run, context))


async def _run_and_exit(
    subcommand_run: Coroutine[Any, Any, exit_codes.ExitCode],
    context: command_context.CommandContext,
) -> None:
    """Awaits a subcommand and exits with its exit code."""
    try:
        code = await subcommand_run
    except exceptions.StoreUnavailable as error:
        output.print_to_stderr(f"the store is unavailable: {error}")
        code = exit_codes.ExitCode.STORE_UNAVAILABLE
    except exceptions.WriteOutcomeUnknown as error:
        output.print_to_stderr(
            f"it is unknown whether the write took effect: {error}"
        )
        code = exit_codes.ExitCode.OUTCOME_UNKNOWN
    except exceptions.StoreError as error:
        output.print_to_stderr(f"the store request failed: {error}")
        code = exit_codes.ExitCode.INTERNAL_ERROR
    await context.store.close()
    raise SystemExit(int(code))


if __name__ == "__main__":
    main()
