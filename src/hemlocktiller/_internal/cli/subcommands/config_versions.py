"""The stored configuration, configuration files and their base copies.

FILE.base, beside an edited file, holds the version that the edit is based on.
"""

import json
from pathlib import Path
from typing import Any
from typing import NamedTuple

from expression import Result
from twisted.internet import task

from hemlocktiller._internal import documents
from hemlocktiller._internal import exceptions
from hemlocktiller._internal import findings
from hemlocktiller._internal.cli.subcommands import command_context
from hemlocktiller._internal.cli.subcommands import output
from hemlocktiller._internal.config import check
from hemlocktiller._internal.schemas import config
from hemlocktiller._internal.store import client
from hemlocktiller._internal.store import watch

CONFIG_KIND = "config"
CONFIG_NAME = "main"
BASE_SUFFIX = ".base"
# A single call may time out although the store is up.
READ_ATTEMPTS = 3


class ConfigVersion(NamedTuple):
    """A version of the configuration.

    Attributes:
        version: Version of the object; 0 if there is none yet.
        document: The configuration; None if only its version is known.
    """

    version: int
    document: config.Config | None


def empty_version() -> ConfigVersion:
    """Returns the version that represents a store without configuration."""
    return ConfigVersion(0, {"plans": [], "allowances": []})


async def read_stored(
    context: command_context.CommandContext,
) -> ConfigVersion:
    """Reads the configuration from the store, in a few attempts.

    Raises:
        StoreUnavailable: The store answered none of them.
    """
    store = context.store
    failures = 0
    while True:
        try:
            return from_stored(await store.read(CONFIG_KIND, CONFIG_NAME))
        except exceptions.StoreUnavailable:
            failures += 1
            if failures == READ_ATTEMPTS:
                raise
        pause_s = watch.backoff_s(store.settings, failures)
        await task.deferLater(context.reactor, pause_s)


def from_stored(stored: client.StoredObject | None) -> ConfigVersion:
    """Returns the version that a stored object holds.

    Args:
        stored: The configuration's object; None if there is none yet.
    """
    if stored is None:
        return empty_version()
    return ConfigVersion(stored.version, stored.value)


def load(
    path: Path,
) -> Result[config.Config, list[findings.Finding]]:
    """Reads and validates a configuration file."""
    return documents.read_file(path).bind(_validated)


def load_or_print_findings(path: Path) -> config.Config | None:
    """Loads a configuration file; prints findings and returns None."""
    loaded = load(path)
    if loaded.is_error():
        output.print_findings(str(path), loaded.error)
        return None
    return loaded.ok


def _validated(
    document: Any,
) -> Result[config.Config, list[findings.Finding]]:
    """Returns a document if it is valid, or else its findings."""
    return check.build_snapshot(0, document).map(lambda built: built.document)


def write_file_and_base(path: Path, config_version: ConfigVersion) -> None:
    """Writes a configuration file for editing, and its base copy."""
    text = json.dumps(config_version.document, indent=2, ensure_ascii=False)
    write_base(path, config_version)
    path.write_text(text + "\n")


def write_base(path: Path, config_version: ConfigVersion) -> None:
    """Writes the base copy of a configuration file."""
    base_path(path).write_text(json.dumps(config_version._asdict()) + "\n")


def read_base(path: Path) -> ConfigVersion | None:
    """Reads the base copy of a file; None if it is absent or invalid."""
    try:
        base = ConfigVersion(**json.loads(base_path(path).read_text()))
    except (OSError, ValueError, TypeError):
        return None
    if not isinstance(base.version, int) or check.check(base.document):
        return None
    return base


def base_path(path: Path) -> Path:
    """Returns the path of the base copy of a file."""
    return path.with_name(path.name + BASE_SUFFIX)
