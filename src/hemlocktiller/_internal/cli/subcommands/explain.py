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

OK = 200
TIME_FIELD = "at_s"
HIDDEN_FIELDS = (TIME_FIELD, "event", "process")


@cappa.command(
    name="explain",
    help="Shows what each process did for a request, and why, by time.",
)
@dataclasses.dataclass
class Explain:
    """Command line of `explain`."""

    request: Annotated[str, cappa.Arg(help="The x-request-id of the answer.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False


async def run(
    command: Explain, context: command_context.Session
) -> exit_codes.ExitCode:
    """Prints the events of a request."""
    processes = await admin_client.find(context)
    path = f"/explain?request={urllib.parse.quote(command.request, safe='')}"
    answers = await admin_client.ask_all(context, processes, path)
    events = _events(answers)
    silent = [answer for answer in answers if answer.problem]
    for answer in silent:
        output.note(f"{answer.process.name}: {answer.problem}")
    if command.json:
        output.result({"request": command.request, "events": events})
    else:
        for event in events:
            print(_line(event))
    if events:
        return exit_codes.ExitCode.DONE
    output.note(f"no process that answered knows {command.request!r}")
    if silent:
        return exit_codes.ExitCode.INCOMPLETE
    return exit_codes.ExitCode.NOT_FOUND


def _events(answers: list[admin_client.Answer]) -> list[dict[str, Any]]:
    """Returns the events that all processes know of, by time."""
    events = [
        {"process": answer.process.name, **event}
        for answer in answers
        if answer.status == OK
        for event in answer.body.get("events", [])
    ]
    return sorted(events, key=lambda event: event.get(TIME_FIELD, 0))


def _line(event: dict[str, Any]) -> str:
    """Returns an event as one line."""
    moment = datetime.datetime.fromtimestamp(
        event.get(TIME_FIELD, 0), datetime.UTC
    )
    words = [
        moment.isoformat(timespec="milliseconds"),
        str(event["process"]),
        str(event.get("event")),
    ]
    for key, value in event.items():
        if key not in HIDDEN_FIELDS:
            shown = value if isinstance(value, str) else json.dumps(value)
            words.append(f"{key}={shown}")
    return " ".join(words)
