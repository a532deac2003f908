"""Common main function of the long-running programs."""

from collections.abc import Callable
import dataclasses
from pathlib import Path
import sys
from typing import Annotated
from typing import Any

import cappa
from twisted.internet import task

import hemlocktiller
from hemlocktiller._internal import monotonic_clock
from hemlocktiller._internal import process as process_module
from hemlocktiller._internal import settings as settings_module
from hemlocktiller._internal.observe import logs
from hemlocktiller._internal.observe import metrics


# cappa shows the docstring of the class as help text of the program.
@dataclasses.dataclass
class Arguments:
    """Runs a process with the given settings until it is shut down."""

    settings: Annotated[
        Path,
        cappa.Arg(
            long="--settings", help="Settings file, JSON with comments."
        ),
    ]


def run(
    program_name: str,
    role: str,
    create_application: Callable[[process_module.Process], Any],
) -> None:
    """Runs a program until its graceful shutdown is complete.

    Args:
        program_name: Name of the program, as on the command line.
        role: Role of the process: `entry` or `agent`.
        create_application: Creates the application from the shared objects
            of a process; its `start` returns a deferred that fires on exit.

    Raises:
        SystemExit: With code 78 if the settings have findings, which are
            printed first; with code 0 after a graceful shutdown.
    """
    command = cappa.command(
        Arguments,
        name=program_name,
        description=f"hemlocktiller's {role} process.",
    )
    arguments = cappa.parse(command, version=hemlocktiller.__version__)
    settings = settings_module.load_or_exit(
        arguments.settings, f"{role}_settings"
    )
    logs.configure(settings["name"])

    def start_application(clock: Any) -> Any:
        monotonic_clock.use_monotonic_clock(clock)
        metrics.start_loop_probe(clock)
        return create_application(
            process_module.create(clock, settings, role)
        ).start()

    task.react(start_application)
    sys.exit(0)
