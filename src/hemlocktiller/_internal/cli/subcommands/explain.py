"""The subcommand `explain`."""

import dataclasses
import datetime
import json
from typing import Annotated
from typing import Any
import urllib.parse

import cappa

from hemlocktiller._internal.cli.subcommands import admin_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import exit_codes
from hemlocktiller._internal.cli.subcommands import output

HTTP_OK = 200
TIME_FIELD = "at_s"
LEADING_FIELDS = (TIME_FIELD, "event", "process")


@cappa.command(
    name="explain",
    help="Shows the events of a request at each process, in order of time,"
    " with the reasons for each decision.",
)
@dataclasses.dataclass
class Explain:
    """Command line of `explain`."""

    request: Annotated[
        str, cappa.Arg(help="Request id, the x-request-id of the answer.")
    ]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Explain, context: command_context.CommandContext
) -> exit_codes.ExitCode:
    """Prints the events of a request from all processes."""
    processes = await admin_client.find_processes(context)
    path = f"/explain?request={urllib.parse.quote(command.request, safe='')}"
    responses = await admin_client.request_all(context, processes, path)
    events = _merged_events(responses)
    unreachable = [response for response in responses if response.problem]
    for response in unreachable:
        output.print_to_stderr(f"{response.process.name}: {response.problem}")
    if command.json:
        output.print_json({"request": command.request, "events": events})
    else:
        for event in events:
            print(_event_line(event))
    if events:
        return exit_codes.ExitCode.DONE
    output.print_to_stderr(
        f"request {command.request!r} is unknown to the processes reached"
    )
    if unreachable:
        return exit_codes.ExitCode.INCOMPLETE
    return exit_codes.ExitCode.NOT_FOUND


def _merged_events(
    responses: list[admin_client.AdminResponse],
) -> list[dict[str, Any]]:
    """Returns the events of all processes, in order of time."""
    events = [
        {"process": response.process.name, **event}
        for response in responses
        if response.status == HTTP_OK
        for event in response.body.get("events", [])
    ]
    return sorted(events, key=lambda event: event.get(TIME_FIELD, 0))


def _event_line(event: dict[str, Any]) -> str:
    """Formats an event as one line."""
    timestamp = datetime.datetime.fromtimestamp(
        event.get(TIME_FIELD, 0), datetime.UTC
    )
    columns = [
        timestamp.isoformat(timespec="milliseconds"),
        str(event["process"]),
        str(event.get("event")),
    ]
    for key, value in event.items():
        if key not in LEADING_FIELDS:
            value_text = value if isinstance(value, str) else json.dumps(value)
            columns.append(f"{key}={value_text}")
    return " ".join(columns)
