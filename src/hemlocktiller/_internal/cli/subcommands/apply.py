"""The subcommand `apply`."""

import dataclasses
from pathlib import Path
from typing import Annotated
from typing import Literal
from typing import NamedTuple

import cappa

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import differences
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.cli.subcommands import rollout
from hemlocktiller._internal.config import diff
from hemlocktiller._internal.schemas import config

DEFAULT_WAIT_TIMEOUT_S = 60.0


@cappa.command(
    name="apply",
    help="Writes a file to the store, unless the store has changed since"
    " the version that the edit is based on.",
)
@dataclasses.dataclass
class Apply:
    """Command line of `apply`."""

    file: Annotated[Path, cappa.Arg(help="File with plans and allowances.")]
    base_version: Annotated[
        int | None,
        cappa.Arg(
            long="--base-version",
            help="Version that the edit is based on, 0 for none."
            " The default is the version in FILE.base, written by `get`.",
        ),
    ] = None
    wait: Annotated[
        bool,
        cappa.Arg(
            long="--wait",
            help="Wait until all processes report the new version.",
        ),
    ] = False
    wait_timeout_s: Annotated[
        float,
        cappa.Arg(long="--wait-timeout-s", help="Maximum wait, in seconds."),
    ] = DEFAULT_WAIT_TIMEOUT_S
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


class Outcome(NamedTuple):
    """Outcome of an attempt to apply a file.

    Attributes:
        outcome: `applied`, `unchanged` or `lost_race`.
        version: Version in the store after the attempt; None if a lost race
            is certain but the stored version could not be read.
        base_version: Version that the edit is based on.
        mine: Changes of this edit, relative to its base if the base
            document is known, else to the stored version.
        theirs: After a lost race, the changes by others since the base;
            None if the base document is not known.
    """

    outcome: Literal["applied", "unchanged", "lost_race"]
    version: int | None
    base_version: int
    mine: list[diff.Change]
    theirs: list[diff.Change] | None


async def run(
    command: Apply, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Writes a file to the store, or prints why it was not written."""
    document = config_versions.load_or_print_findings(command.file)
    if document is None:
        return exit_codes.ExitCode.FINDINGS
    stored = await config_versions.read_stored(context)
    base = _find_base(command, stored)
    if base is None:
        output.print_to_stderr(
            "the version that the edit is based on is not known; start"
            " from `get FILE`, or pass --base-version"
        )
        return exit_codes.ExitCode.LOST_RACE
    outcome = await _write_if_current(context, document, base, stored)
    _print_outcome(command, outcome)
    if outcome.outcome == "lost_race":
        return exit_codes.ExitCode.LOST_RACE
    _save_base(
        command.file, config_versions.ConfigVersion(outcome.version, document)
    )
    if not command.wait:
        return exit_codes.ExitCode.DONE
    return await rollout.wait_for_version(
        context, outcome.version, command.wait_timeout_s
    )


def _find_base(
    command: Apply, stored: config_versions.ConfigVersion
) -> config_versions.ConfigVersion | None:
    """Returns the version that the edit is based on; None if unknown."""
    saved_base = config_versions.read_base(command.file)
    version = command.base_version
    if version is None:
        return saved_base if saved_base or stored.version else stored
    for candidate in (stored, saved_base):
        if candidate and candidate.version == version:
            return candidate
    return config_versions.ConfigVersion(version, None)


def _save_base(path: Path, applied: config_versions.ConfigVersion) -> None:
    """Saves the applied version as the base of the next edit."""
    try:
        config_versions.write_base(path, applied)
    except OSError as error:
        output.print_to_stderr(
            f"{config_versions.base_path(path)}: {error.strerror}"
        )


async def _write_if_current(
    context: command_context.CommandContext,
    document: config.Config,
    base: config_versions.ConfigVersion,
    stored: config_versions.ConfigVersion,
) -> Outcome:
    """Writes a document if its base is still the stored version."""
    if stored.version and stored.document == document:
        return Outcome("unchanged", stored.version, base.version, [], [])
    if stored.version != base.version:
        return _lost_race_outcome(document, base, stored)
    mine = differences.changes_between(stored.document, document)
    try:
        written = await context.store.update(
            config_versions.CONFIG_KIND,
            config_versions.CONFIG_NAME,
            document,
            base.version,
        )
    except (exceptions.ObjectExists, exceptions.VersionConflict) as conflict:
        current = await _read_winner(context, conflict)
        return _lost_race_outcome(document, base, current)
    return Outcome("applied", written.version, base.version, mine, [])


async def _read_winner(
    context: command_context.CommandContext,
    conflict: exceptions.ObjectExists | exceptions.VersionConflict,
) -> config_versions.ConfigVersion | None:
    """Returns the version that won a race; None if it could not be read."""
    if conflict.current is not None:
        return config_versions.from_stored(conflict.current)
    try:
        return await config_versions.read_stored(context)
    except exceptions.StoreUnavailable as error:
        output.print_to_stderr(f"the stored version is not shown: {error}")
        return None


def _lost_race_outcome(
    document: config.Config,
    base: config_versions.ConfigVersion,
    stored: config_versions.ConfigVersion | None,
) -> Outcome:
    """Returns the outcome of a lost race, with the changes of both sides.

    Args:
        document: The document that was not written.
        base: Version that the edit is based on.
        stored: Version in the store; None if it could not be read.
    """
    theirs = None
    if base.document is not None and stored is not None:
        theirs = differences.changes_between(base.document, stored.document)
    compared_to = base if base.document is not None else stored
    mine = []
    if compared_to is not None:
        mine = differences.changes_between(compared_to.document, document)
    version = stored.version if stored else None
    return Outcome("lost_race", version, base.version, mine, theirs)


def _print_outcome(command: Apply, outcome: Outcome) -> None:
    """Prints an outcome."""
    if command.json:
        _print_outcome_json(outcome)
    elif outcome.outcome == "lost_race":
        _print_lost_race(command.file, outcome)
    elif outcome.outcome == "unchanged":
        print(f"version {outcome.version} is identical; nothing written")
    else:
        differences.print_changes(f"version {outcome.version}", outcome.mine)


def _print_outcome_json(outcome: Outcome) -> None:
    """Prints an outcome as JSON."""
    fields = outcome._asdict()
    for key in ("mine", "theirs"):
        if fields[key] is not None:
            fields[key] = differences.changes_as_json(fields[key])
    output.print_json(fields)


def _print_lost_race(path: Path, outcome: Outcome) -> None:
    """Prints the changes of both sides of a lost race."""
    if outcome.version is None:
        output.print_to_stderr(
            f"the edit is based on version {outcome.base_version}, but the"
            " store holds another one, which could not be read; nothing was"
            " written"
        )
        differences.print_changes(
            f"mine, against version {outcome.base_version}", outcome.mine
        )
        return
    output.print_to_stderr(
        f"the edit is based on version {outcome.base_version}, but the"
        f" store holds version {outcome.version}; nothing was written"
    )
    if outcome.theirs is None:
        title = f"{path} against version {outcome.version}"
        differences.print_changes(title, outcome.mine)
        output.print_to_stderr(
            "the base document is not known, so the two edits can't be"
            " separated"
        )
        return
    differences.print_changes(
        f"mine, against version {outcome.base_version}", outcome.mine
    )
    differences.print_changes(
        f"theirs, against version {outcome.base_version}", outcome.theirs
    )
