"""Carries a configuration between processes, whole or as a merge patch.

A merge patch (RFC 7396) replaces lists whole, so the lists of plans,
workspaces and allowances become maps by name before they are compared.
"""

from collections.abc import Callable
import functools
import json
from typing import Any
import zlib

from expression import Error
from expression import Ok
from expression import Result

from hemlocktiller._internal import documents
from hemlocktiller._internal.config import check
from hemlocktiller._internal.config import snapshot
from hemlocktiller._internal.schemas import config
from hemlocktiller._internal.schemas import messages

DEFLATE_LEVEL = 9
MAX_BODY_BYTES = 4 * check.MAX_CONFIG_BYTES

NOT_NEWER = "not_newer"
OTHER_BASE = "other_base"
MALFORMED = "malformed"


def make(
    old: snapshot.Snapshot | None, new: snapshot.Snapshot
) -> messages.ConfigUpdate:
    """Returns the message that brings a peer to a configuration.

    Args:
        old: What the peer has; None or `EMPTY` if that is not known.
        new: What the peer shall have.
    """
    whole = _deflated(new.document)
    if old is None or not old.version:
        return _message(new.version, 0, whole)
    before = _by_name(old.document)
    difference = _difference(before, _by_name(new.document))
    if _as_lists(_merged(before, difference)) != new.document:
        return _message(new.version, 0, whole)
    patch = _deflated(difference)
    if len(patch) >= len(whole):
        return _message(new.version, 0, whole)
    return _message(new.version, old.version, patch)


def maker(
    previous: snapshot.Snapshot, current: snapshot.Snapshot
) -> Callable[[int], messages.ConfigUpdate]:
    """Returns a function that makes each update once for many peers.

    Args:
        previous: The configuration that was in force before.
        current: The configuration in force.

    Returns:
        A function of the version that a peer has, 0 if that is not known.
    """

    @functools.cache
    def whole() -> messages.ConfigUpdate:
        return make(None, current)

    @functools.cache
    def patched() -> messages.ConfigUpdate:
        return make(previous, current)

    def update_for(version: int) -> messages.ConfigUpdate:
        if version and version == previous.version:
            return patched()
        return whole()

    return update_for


def apply(
    current: snapshot.Snapshot, update: messages.ConfigUpdate
) -> Result[snapshot.Snapshot, str]:
    """Returns the configuration that an update leads to.

    Args:
        current: The configuration in force.
        update: The message of a peer.

    Returns:
        The newer configuration, or why there is none: `NOT_NEWER` if the
        update is to be ignored, `OTHER_BASE` if the whole document is to
        be asked for, `MALFORMED` if the peer broke the protocol.
    """
    if update["version"] <= current.version:
        return Error(NOT_NEWER)
    base_version = update["base_version"]
    if base_version and base_version != current.version:
        return Error(OTHER_BASE)
    document = _document(current, update)
    accepted = check.accept(update["version"], document)
    if accepted.is_error():
        return Error(MALFORMED)
    return Ok(accepted.ok)


def _message(
    version: int, base_version: int, body: bytes
) -> messages.ConfigUpdate:
    """Returns a message of the links."""
    return {
        "type": "config",
        "version": version,
        "base_version": base_version,
        "body": body,
    }


def _document(
    current: snapshot.Snapshot, update: messages.ConfigUpdate
) -> Any:
    """Returns the document of an update; None if it can't be read."""
    try:
        content = json.loads(_inflated(update["body"]))
    except (ValueError, zlib.error, RecursionError):
        return None
    if documents.is_too_deep(content):
        return None
    if not update["base_version"]:
        return content
    merged = _merged(_by_name(current.document), content)
    return _as_lists(merged) if _is_by_name(merged) else None


def _deflated(value: Any) -> bytes:
    """Returns a value as compressed JSON."""
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"))
    return zlib.compress(text.encode(), DEFLATE_LEVEL)


def _inflated(body: bytes) -> bytes:
    """Returns the JSON of a compressed body, bounded in size.

    Raises:
        ValueError: The body is too large or incomplete.
        zlib.error: The body is not compressed data.
    """
    inflater = zlib.decompressobj()
    content = inflater.decompress(body, MAX_BODY_BYTES)
    if not inflater.eof:
        raise ValueError("the body is too large or incomplete")
    return content


def _by_name(document: config.Config) -> dict[str, Any]:
    """Returns a document with maps by name in place of its lists."""
    plans = {}
    for plan in document["plans"]:
        workspaces = {item["workspace"]: item for item in plan["workspaces"]}
        plans[plan["plan"]] = {**plan, "workspaces": workspaces}
    allowances = {item["plan"]: item for item in document["allowances"]}
    return {"plans": plans, "allowances": allowances}


def _is_by_name(maps: Any) -> bool:
    """Tells whether `_as_lists` can read a value of a peer."""
    if not isinstance(maps, dict) or set(maps) != {"plans", "allowances"}:
        return False
    if not all(isinstance(part, dict) for part in maps.values()):
        return False
    return all(
        isinstance(plan, dict) and isinstance(plan.get("workspaces"), dict)
        for plan in maps["plans"].values()
    )


def _as_lists(maps: dict[str, Any]) -> dict[str, Any]:
    """Returns the document that `_by_name` was made of."""
    plans = [
        {**plan, "workspaces": list(plan["workspaces"].values())}
        for plan in maps["plans"].values()
    ]
    return {"plans": plans, "allowances": list(maps["allowances"].values())}


def _difference(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns the merge patch from one map to another."""
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if isinstance(before, dict) and isinstance(value, dict):
            inner = _difference(before, value)
            if inner:
                patch[key] = inner
        elif before != value or key not in old:
            patch[key] = value
    return patch


def _merged(target: Any, patch: Any) -> Any:
    """Returns a value with a merge patch applied, as RFC 7396 has it."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = _merged(merged.get(key), value)
    return merged
