"""The subcommand `status`."""

import dataclasses
from typing import Annotated
from typing import Any

import cappa

from hemlocktiller._internal import exceptions
from hemlocktiller._internal.cli.subcommands import admin_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import config_versions
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.cli.subcommands import rollout

HEADINGS = ["NAME", "ROLE", "DATA CENTRE", "CONFIG", "STATE"]
UNKNOWN = "?"


@cappa.command(
    name="status",
    help="Shows the configuration in the store, and for each process the"
    " version in force and whether it takes new work.",
)
@dataclasses.dataclass
class Status:
    """Command line of `status`."""

    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Status, context: command_context.Session
) -> exit_codes.ExitCode:
    """Prints the state of the store and of all processes."""
    processes = await admin_client.find(context)
    version = await _stored_version(context)
    answers = await admin_client.ask_all(
        context, processes, rollout.STATUS_PATH
    )
    behind = rollout.lags(answers, version or 0)
    if command.json:
        output.result(_as_json(version, answers))
    else:
        shown = "unavailable" if version is None else f"version {version}"
        print(f"store: {shown}")
        output.table([HEADINGS, *map(_row, answers)])
    return (
        exit_codes.ExitCode.INCOMPLETE if behind else exit_codes.ExitCode.DONE
    )


async def _stored_version(context: command_context.Session) -> int | None:
    """Returns the version in the store; None if it can't be read."""
    try:
        stored = await config_versions.read(context)
    except exceptions.StoreUnavailable:
        return None
    return stored.version


def _as_json(
    version: int | None, answers: list[admin_client.Answer]
) -> dict[str, Any]:
    """Returns the state of all processes, fit for JSON."""
    shown = [
        {
            **answer.process._asdict(),
            "problem": answer.problem,
            "status": answer.body,
        }
        for answer in answers
    ]
    return {"store_version": version, "processes": shown}


def _row(answer: admin_client.Answer) -> list[str]:
    """Returns the row of one process."""
    body = answer.body
    return [
        str(body.get("name", answer.process.name)),
        str(body.get("role", answer.process.role or UNKNOWN)),
        str(body.get("data_centre", UNKNOWN)),
        str(body.get(rollout.VERSION_FIELD, UNKNOWN)),
        answer.problem or _state(body),
    ]


def _state(body: dict[str, Any]) -> str:
    """Returns whether a process takes new work, or why not."""
    if "ready" not in body:
        return UNKNOWN
    return "ready" if body["ready"] else str(body.get("unready", UNKNOWN))
