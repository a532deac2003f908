"""Asks the admin pages of the processes."""

import json
from typing import Any
from typing import NamedTuple

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import error as web_error

from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.store import objects

MAX_CALLS = 64
ROLES = {"entry": "entry", "target": "agent"}
NO_ANSWER = (
    error.ConnectError,
    error.ConnectionClosed,
    defer.TimeoutError,
    client.ResponseFailed,
    web_error.SchemeNotSupported,
    OSError,
    ValueError,
)


class Process(NamedTuple):
    """A process with admin pages.

    Attributes:
        name: Name of the process; its URL if only that is known.
        role: `entry` or `agent`; empty if only the URL is known.
        url: Base URL of the admin pages; empty if they are not known.
    """

    name: str
    role: str
    url: str


class Answer(NamedTuple):
    """What an admin page answered.

    Attributes:
        process: The process asked.
        status: HTTP status; 0 if there was no answer.
        body: JSON object of the answer; empty if there is none.
        problem: Why there was no answer; empty if there was one.
    """

    process: Process
    status: int
    body: dict[str, Any]
    problem: str


async def find(context: command_context.Session) -> list[Process]:
    """Returns the processes of the settings, or else of the store.

    Raises:
        StoreUnavailable: The settings name none, nor could the store.
    """
    listed = context.settings["admin_pages"]
    if listed:
        return [Process(url, "", url.rstrip("/")) for url in listed]
    found = []
    for kind in ROLES:
        listing = await context.store.read_all(kind)
        found += map(process_of, listing.objects)
    return sorted(found)


def process_of(stored: objects.StoredObject) -> Process:
    """Returns the process that an object in the store tells of."""
    role = ROLES[stored.kind]
    value = stored.value if isinstance(stored.value, dict) else {}
    if not {"admin_host", "admin_port"} <= set(value):
        return Process(stored.name, role, "")
    url = f"http://{value['admin_host']}:{value['admin_port']}"
    return Process(stored.name, role, url)


async def ask_all(
    context: command_context.Session, processes: list[Process], path: str
) -> list[Answer]:
    """Asks a page of many processes, a bounded number at once."""
    slots = defer.DeferredSemaphore(MAX_CALLS)
    calls = [slots.run(_ask, context, item, path) for item in processes]
    return await defer.gatherResults(calls, consumeErrors=True)


def _ask(
    context: command_context.Session, process: Process, path: str
) -> defer.Deferred[Answer]:
    """Starts to ask a page."""
    return defer.Deferred.fromCoroutine(ask(context, process, path))


async def ask(
    context: command_context.Session,
    process: Process,
    path: str,
    method: str = "GET",
) -> Answer:
    """Asks a page; a process that can't be reached is an answer too."""
    if not process.url:
        return Answer(process, 0, {}, "its object names no admin pages")
    call = defer.Deferred.fromCoroutine(
        _call(context, process.url + path, method)
    )
    call.addTimeout(context.settings["timeout_s"], context.reactor)
    try:
        status, content = await call
    except NO_ANSWER as problem:
        return Answer(process, 0, {}, str(problem) or "no answer")
    return Answer(process, status, _json_object(content), "")


async def _call(
    context: command_context.Session, url: str, method: str
) -> tuple[int, bytes]:
    """Returns status and content of a page."""
    response = await treq.request(method, url, agent=context.agent)
    return response.code, await treq.content(response)


def _json_object(content: bytes) -> dict[str, Any]:
    """Returns the JSON object of an answer; empty if it has none."""
    try:
        value = json.loads(content)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
