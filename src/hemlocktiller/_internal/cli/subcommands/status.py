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
    help="Shows the configuration version in the store, and for each process"
    " the version in force and whether it accepts new requests.",
)
@dataclasses.dataclass
class Status:
    """Command line of `status`."""

    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Status, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Prints the stored version and the state of all processes."""
    processes = await admin_client.find_processes(context)
    version = await _read_stored_version(context)
    responses = await admin_client.request_all(
        context, processes, rollout.STATUS_PATH
    )
    lagging = rollout.lagging_processes(responses, version or 0)
    if command.json:
        output.print_json(_status_as_json(version, responses))
    else:
        version_text = (
            "unavailable" if version is None else f"version {version}"
        )
        print(f"store: {version_text}")
        output.print_table([HEADINGS, *map(_process_row, responses)])
    return (
        exit_codes.ExitCode.INCOMPLETE if lagging else exit_codes.ExitCode.DONE
    )


async def _read_stored_version(
    context: command_context.CommandContext,
) -> int | None:
    """Returns the version in the store; None if it is unavailable."""
    try:
        stored = await config_versions.read_stored(context)
    except exceptions.StoreUnavailable:
        return None
    return stored.version


def _status_as_json(
    version: int | None, responses: list[admin_client.AdminResponse]
) -> dict[str, Any]:
    """Returns the state of all processes, serializable as JSON."""
    process_states = [
        {
            **response.process._asdict(),
            "problem": response.problem,
            "status": response.body,
        }
        for response in responses
    ]
    return {"store_version": version, "processes": process_states}


def _process_row(response: admin_client.AdminResponse) -> list[str]:
    """Returns the table row of one process."""
    body = response.body
    return [
        str(body.get("name", response.process.name)),
        str(body.get("role", response.process.role or UNKNOWN)),
        str(body.get("data_centre", UNKNOWN)),
        str(body.get(rollout.VERSION_FIELD, UNKNOWN)),
        response.problem or _state_text(body),
    ]


def _state_text(body: dict[str, Any]) -> str:
    """Returns `ready`, or why a process accepts no new requests."""
    if "ready" not in body:
        return UNKNOWN
    return "ready" if body["ready"] else str(body.get("unready", UNKNOWN))
