"""HTTP client of the admin pages of the processes."""

import json
from typing import Any
from typing import NamedTuple

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import error as web_error

from hemlocktiller._internal import http_client
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.store import objects

MAX_CONCURRENT_REQUESTS = 64
FIRST_NON_SUCCESS_STATUS = 300
MAX_PAGE_BYTES = 16_777_216
ROLES_BY_KIND = {"entry": "entry", "target": "agent"}
REQUEST_ERRORS = (
    error.ConnectError,
    error.ConnectionClosed,
    defer.TimeoutError,
    client.ResponseFailed,
    web_error.SchemeNotSupported,
    OSError,
    ValueError,
)
BROKEN_OFF_ERRORS = (
    client.ResponseFailed,
    error.ConnectionClosed,
    http_client.ResponseTooLong,
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


class AdminResponse(NamedTuple):
    """Response of an admin page.

    Attributes:
        process: The process that was asked.
        status: HTTP status; 0 if there was no response.
        body: JSON object in the response; empty if there is none.
        problem: Why there was no response, or no whole one; empty if there
            was one.
    """

    process: Process
    status: int
    body: dict[str, Any]
    problem: str

    @property
    def was_received(self) -> bool:
        """Whether the process answered, if only with a part of a response."""
        return self.status > 0


async def find_processes(
    context: command_context.CommandContext,
) -> list[Process]:
    """Returns the processes listed in the settings, or else in the store.

    Raises:
        StoreUnavailable: The settings list none and the store did not
            answer.
    """
    configured_urls = context.settings["admin_pages"]
    if configured_urls:
        return [Process(url, "", url.rstrip("/")) for url in configured_urls]
    processes = []
    for kind in ROLES_BY_KIND:
        listing = await context.store.read_all(kind)
        processes += map(process_from_registration, listing.objects)
    return sorted(processes)


def process_from_registration(stored: objects.StoredObject) -> Process:
    """Returns the process that a registration in the store describes."""
    role = ROLES_BY_KIND[stored.kind]
    value = stored.value if isinstance(stored.value, dict) else {}
    if not {"admin_host", "admin_port"} <= set(value):
        return Process(stored.name, role, "")
    url = f"http://{value['admin_host']}:{value['admin_port']}"
    return Process(stored.name, role, url)


async def request_all(
    context: command_context.CommandContext,
    processes: list[Process],
    path: str,
) -> list[AdminResponse]:
    """Requests a page of many processes, with bounded concurrency."""
    semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
    requests = [
        semaphore.run(_start_request, context, item, path)
        for item in processes
    ]
    return await defer.gatherResults(requests, consumeErrors=True)


def _start_request(
    context: command_context.CommandContext, process: Process, path: str
) -> defer.Deferred[AdminResponse]:
    """Starts to request a page."""
    return defer.Deferred.fromCoroutine(request_page(context, process, path))


async def request_page(
    context: command_context.CommandContext,
    process: Process,
    path: str,
    method: str = "GET",
) -> AdminResponse:
    """Requests a page; an unreachable process yields a response too."""
    if not process.url:
        return AdminResponse(process, 0, {}, "its object names no admin pages")
    request = defer.Deferred.fromCoroutine(
        _send_request(context, process.url + path, method)
    )
    request.addTimeout(context.settings["timeout_s"], context.reactor)
    try:
        status, content = await request
    except REQUEST_ERRORS as request_error:
        return AdminResponse(process, 0, {}, str(request_error) or "no answer")
    body = _json_object(content)
    if body is None and status < FIRST_NON_SUCCESS_STATUS:
        return AdminResponse(
            process, status, {}, "the answer is no whole JSON object"
        )
    return AdminResponse(process, status, body or {}, "")


async def _send_request(
    context: command_context.CommandContext, url: str, method: str
) -> tuple[int, bytes]:
    """Sends a request; returns the HTTP status and the content.

    The content may be incomplete.
    """
    response = await treq.request(method, url, agent=context.http_agent)
    try:
        body = await http_client.read_body(response, MAX_PAGE_BYTES)
    except BROKEN_OFF_ERRORS:
        return response.code, b""
    return response.code, body.content


def _json_object(content: bytes) -> dict[str, Any] | None:
    """Parses the JSON object in a response; None if there is no whole one."""
    try:
        value = json.loads(content)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
