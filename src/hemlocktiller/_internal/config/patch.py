"""Encodes configuration updates, as a full document or as a merge patch.

A JSON merge patch (RFC 7396) can only replace a list as a whole, so the lists
of plans, workspaces and allowances are converted to maps by name before they
are compared.
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

COMPRESSION_LEVEL = 9
MAX_DECOMPRESSED_BYTES = 4 * check.MAX_CONFIG_BYTES

NOT_NEWER = "not_newer"
BASE_MISMATCH = "other_base"
MALFORMED = "malformed"


def build_update(
    old: snapshot.Snapshot | None, new: snapshot.Snapshot
) -> messages.ConfigUpdate:
    """Returns the message that updates a peer to a configuration.

    The body is a merge patch if that leads to exactly the new document and is
    smaller than it; otherwise it is the full document.

    Args:
        old: Configuration of the peer; None or `EMPTY` if it is unknown.
        new: Configuration to update to.
    """
    full_body = _compress_json(new.document)
    if old is None or not old.version:
        return _update_message(new.version, 0, full_body)
    old_maps = _lists_to_maps(old.document)
    merge_patch = _create_merge_patch(old_maps, _lists_to_maps(new.document))
    if (
        _maps_to_lists(_apply_merge_patch(old_maps, merge_patch))
        != new.document
    ):
        return _update_message(new.version, 0, full_body)
    patch_body = _compress_json(merge_patch)
    if len(patch_body) >= len(full_body):
        return _update_message(new.version, 0, full_body)
    return _update_message(new.version, old.version, patch_body)


def cached_update_builder(
    previous: snapshot.Snapshot, current: snapshot.Snapshot
) -> Callable[[int], messages.ConfigUpdate]:
    """Returns a function that builds updates and caches them.

    The same update is sent to many peers, so it is encoded only once.

    Args:
        previous: The previous configuration.
        current: The current configuration.

    Returns:
        A function from the version of a peer, 0 if it is unknown, to the
        message that updates the peer to `current`.
    """

    @functools.cache
    def full_update() -> messages.ConfigUpdate:
        return build_update(None, current)

    @functools.cache
    def patch_update() -> messages.ConfigUpdate:
        return build_update(previous, current)

    def update_for(version: int) -> messages.ConfigUpdate:
        if version and version == previous.version:
            return patch_update()
        return full_update()

    return update_for


def apply_update(
    current: snapshot.Snapshot, update: messages.ConfigUpdate
) -> Result[snapshot.Snapshot, str]:
    """Applies an update to a configuration.

    Args:
        current: The current configuration.
        update: The message of a peer.

    Returns:
        The updated configuration, or the reason why there is none:
        `NOT_NEWER` if the update is to be ignored, `BASE_MISMATCH` if it is a
        patch of another version, so that the full document must be requested,
        `MALFORMED` if the peer violated the protocol.
    """
    if update["version"] <= current.version:
        return Error(NOT_NEWER)
    base_version = update["base_version"]
    if base_version and base_version != current.version:
        return Error(BASE_MISMATCH)
    document = _decode_document(current, update)
    accepted = check.build_snapshot(update["version"], document)
    if accepted.is_error():
        return Error(MALFORMED)
    return Ok(accepted.ok)


def _update_message(
    version: int, base_version: int, body: bytes
) -> messages.ConfigUpdate:
    """Returns the message of an update, as links send it."""
    return {
        "type": "config",
        "version": version,
        "base_version": base_version,
        "body": body,
    }


def _decode_document(
    current: snapshot.Snapshot, update: messages.ConfigUpdate
) -> Any:
    """Returns the document of an update; None if it can't be decoded."""
    try:
        content = json.loads(_decompress(update["body"]))
    except (ValueError, zlib.error, RecursionError):
        return None
    if documents.exceeds_max_depth(content):
        return None
    if not update["base_version"]:
        return content
    merged = _apply_merge_patch(_lists_to_maps(current.document), content)
    return _maps_to_lists(merged) if _are_valid_maps(merged) else None


def _compress_json(value: Any) -> bytes:
    """Encodes a value as JSON and compresses it."""
    text = json.dumps(value, ensure_ascii=False, separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def _decompress(body: bytes) -> bytes:
    """Decompresses a body of at most `MAX_DECOMPRESSED_BYTES`.

    Raises:
        ValueError: The body is too large or incomplete.
        zlib.error: The body is not compressed data.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError("the body is too large or incomplete")
    return content


def _lists_to_maps(document: config.Config) -> dict[str, Any]:
    """Returns a document with its lists converted to maps by name."""
    plans = {}
    for plan in document["plans"]:
        workspaces = {item["workspace"]: item for item in plan["workspaces"]}
        plans[plan["plan"]] = {**plan, "workspaces": workspaces}
    allowances = {item["plan"]: item for item in document["allowances"]}
    return {"plans": plans, "allowances": allowances}


def _are_valid_maps(maps: Any) -> bool:
    """Returns whether `_maps_to_lists` can convert a value of a peer."""
    if not isinstance(maps, dict) or set(maps) != {"plans", "allowances"}:
        return False
    if not all(isinstance(part, dict) for part in maps.values()):
        return False
    return all(
        isinstance(plan, dict) and isinstance(plan.get("workspaces"), dict)
        for plan in maps["plans"].values()
    )


def _maps_to_lists(maps: dict[str, Any]) -> dict[str, Any]:
    """Reverses `_lists_to_maps`."""
    plans = [
        {**plan, "workspaces": list(plan["workspaces"].values())}
        for plan in maps["plans"].values()
    ]
    return {"plans": plans, "allowances": list(maps["allowances"].values())}


def _create_merge_patch(
    old: dict[str, Any], new: dict[str, Any]
) -> dict[str, Any]:
    """Returns the JSON merge patch (RFC 7396) from one map to another."""
    patch: dict[str, Any] = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if isinstance(before, dict) and isinstance(value, dict):
            inner = _create_merge_patch(before, value)
            if inner:
                patch[key] = inner
        elif before != value or key not in old:
            patch[key] = value
    return patch


def _apply_merge_patch(target: Any, patch: Any) -> Any:
    """Returns a value with a JSON merge patch (RFC 7396) applied."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = _apply_merge_patch(merged.get(key), value)
    return merged
