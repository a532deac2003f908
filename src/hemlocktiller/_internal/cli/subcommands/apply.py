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

WAIT_TIMEOUT_S = 60.0


@cappa.command(
    name="apply",
    help="Writes a file to the store, if the store still holds the"
    " version that the edit started from.",
)
@dataclasses.dataclass
class Apply:
    """Command line of `apply`."""

    file: Annotated[Path, cappa.Arg(help="Plans and allowances.")]
    base_version: Annotated[
        int | None,
        cappa.Arg(
            long="--base-version",
            help="Version that the edit started from, 0 for none."
            " Without it, the one in FILE.base, which `get` wrote.",
        ),
    ] = None
    wait: Annotated[
        bool,
        cappa.Arg(
            long="--wait",
            help="Wait until every process reports the new version.",
        ),
    ] = False
    wait_timeout_s: Annotated[
        float,
        cappa.Arg(long="--wait-timeout-s", help="Longest wait, in seconds."),
    ] = WAIT_TIMEOUT_S
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


class Outcome(NamedTuple):
    """What an attempt to apply came to.

    Attributes:
        outcome: `applied`, `unchanged` or `lost_race`.
        version: Version in the store.
        base_version: Version that the edit started from.
        mine: Changes of this edit, against its base if that is known.
        theirs: After a lost race, changes of the others; None if the
            base is not known.
    """

    outcome: Literal["applied", "unchanged", "lost_race"]
    version: int
    base_version: int
    mine: list[diff.Change]
    theirs: list[diff.Change] | None


async def run(
    command: Apply, context: command_context.Session
) -> exit_codes.ExitCode:
    """Writes a file to the store, or says why not."""
    document = config_versions.load_or_note(command.file)
    if document is None:
        return exit_codes.ExitCode.FINDINGS
    stored = await config_versions.read(context)
    base = _base(command, stored)
    if base is None:
        output.note(
            "the version that the edit started from is not known; start"
            " from `get FILE`, or give --base-version"
        )
        return exit_codes.ExitCode.LOST_RACE
    outcome = await _attempt(context, document, base, stored)
    _show(command, outcome)
    if outcome.outcome == "lost_race":
        return exit_codes.ExitCode.LOST_RACE
    _keep_base(
        command.file, config_versions.Versioned(outcome.version, document)
    )
    if not command.wait:
        return exit_codes.ExitCode.DONE
    return await rollout.wait(context, outcome.version, command.wait_timeout_s)


def _base(
    command: Apply, stored: config_versions.Versioned
) -> config_versions.Versioned | None:
    """Returns what the edit started from; None if that is not known."""
    kept = config_versions.read_base(command.file)
    version = command.base_version
    if version is None:
        return kept if kept or stored.version else stored
    for known in (stored, kept):
        if known and known.version == version:
            return known
    return config_versions.Versioned(version, None)


def _keep_base(path: Path, applied: config_versions.Versioned) -> None:
    """Lets the next edit of a file start from what was applied."""
    try:
        config_versions.write_base(path, applied)
    except OSError as error:
        output.note(f"{config_versions.base_path(path)}: {error.strerror}")


async def _attempt(
    context: command_context.Session,
    document: config.Config,
    base: config_versions.Versioned,
    stored: config_versions.Versioned,
) -> Outcome:
    """Writes a document over its base, unless that is outdated."""
    if stored.version and stored.document == document:
        return Outcome("unchanged", stored.version, base.version, [], [])
    if stored.version != base.version:
        return _lost(document, base, stored)
    mine = differences.between(stored.document, document)
    try:
        written = await context.store.update(
            config_versions.KIND, config_versions.NAME, document, base.version
        )
    except (exceptions.ObjectExists, exceptions.VersionConflict):
        return _lost(document, base, await config_versions.read(context))
    return Outcome("applied", written.version, base.version, mine, [])


def _lost(
    document: config.Config,
    base: config_versions.Versioned,
    stored: config_versions.Versioned,
) -> Outcome:
    """Returns the outcome of a lost race, with both edits."""
    theirs = None
    if base.document is not None:
        theirs = differences.between(base.document, stored.document)
    start = stored if base.document is None else base
    mine = differences.between(start.document, document)
    return Outcome("lost_race", stored.version, base.version, mine, theirs)


def _show(command: Apply, outcome: Outcome) -> None:
    """Prints an outcome."""
    if command.json:
        _show_json(outcome)
    elif outcome.outcome == "lost_race":
        _show_race(command.file, outcome)
    elif outcome.outcome == "unchanged":
        print(f"version {outcome.version} is the same; nothing written")
    else:
        differences.show(f"version {outcome.version}", outcome.mine)


def _show_json(outcome: Outcome) -> None:
    """Prints an outcome as JSON."""
    fields = outcome._asdict()
    for key in ("mine", "theirs"):
        if fields[key] is not None:
            fields[key] = differences.as_json(fields[key])
    output.result(fields)


def _show_race(path: Path, outcome: Outcome) -> None:
    """Prints both edits of a lost race."""
    output.note(
        f"the edit started from version {outcome.base_version}, but the"
        f" store holds version {outcome.version}; nothing was written"
    )
    if outcome.theirs is None:
        title = f"{path} against version {outcome.version}"
        differences.show(title, outcome.mine)
        output.note("the base is not at hand, so the edits are not told apart")
        return
    differences.show(
        f"mine, against version {outcome.base_version}", outcome.mine
    )
    differences.show(
        f"theirs, against version {outcome.base_version}", outcome.theirs
    )
