"""Measures what one edit of the configuration costs a process.

For several numbers of workspaces it prints the size of the whole document
and of a patch, the processor time to build and to apply each, and the mean
traffic of all edits of a day on one link. Then it prints the processor time
that one edit takes at an entry with many links.
"""

import copy
import sys
import time

from hemlocktiller._internal.config import patch
from hemlocktiller._internal.config import snapshot

WORKSPACE_COUNTS = (10, 100, 355, 710)
WORKSPACES_PER_PLAN = 10
MODEL_COUNT = 19
EDITS_PER_DAY = 13_000
DAY_S = 86_400
REPEATS = 20
LINK_COUNT = 100
MAX_PATCH_BYTES_PER_S = 4_096
ROW_FORMAT = "{:>10} {:>6} {:>8} {:>9} {:>10} {:>10} {:>12}"


def config_document(workspace_count):
    """Returns a configuration with `workspace_count` workspaces."""
    plans = []
    allowances = []
    for first in range(0, workspace_count, WORKSPACES_PER_PLAN):
        name = f"plan-{first // WORKSPACES_PER_PLAN:03}"
        plans.append(_plan(name, first, workspace_count))
        models = [f"model-{index:02}" for index in range(MODEL_COUNT)]
        allowances.append(
            {"plan": name, "models": models, "services": ["bookings"]}
        )
    return {"plans": plans, "allowances": allowances}


def _plan(name, first, workspace_count):
    """Returns one plan with its workspaces, numbered from `first`."""
    end = min(first + WORKSPACES_PER_PLAN, workspace_count)
    return {
        "plan": name,
        "share": 1 / workspace_count,
        "worth": 1.0,
        "deadline_s": 30.0,
        "limits": {"requests_per_s": 20},
        "workspaces": [_workspace(number) for number in range(first, end)],
    }


def _workspace(number):
    """Returns one workspace with the digest of its key."""
    digest = snapshot.key_digest(f"key-{number}")
    return {"workspace": f"workspace-{number:04}", "key_digest": digest}


def _edited_documents(document):
    """Yields each common kind of edit with a copy edited in that way."""
    edited = copy.deepcopy(document)
    edited["plans"][0]["share"] = 0.001
    yield "share", edited
    edited = copy.deepcopy(document)
    edited["plans"][0]["workspaces"].append(_workspace(99_999))
    yield "workspace", edited
    edited = copy.deepcopy(document)
    edited["allowances"][0]["models"].append("model-new")
    yield "allowance", edited


def _mean_cpu_ms(function):
    """Returns the mean processor time of a call after one warm-up call."""
    function()
    started_s = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - started_s) / REPEATS * 1_000


def _print_row(workspace_count, edit, form, base, before, after):
    """Measures and prints one kind of update.

    Args:
        workspace_count: Workspaces in the configuration.
        edit: Kind of the edit.
        form: Whether the update is the "whole" document or a "patch".
        base: Snapshot that the update is a patch of; None for a whole
            document.
        before: Snapshot before the edit.
        after: Snapshot after the edit.

    Returns:
        Mean traffic of all edits of a day on one link, in bytes/s.
    """
    update = patch.build_update(base, after)
    body_bytes = len(update["body"])
    build_ms = _mean_cpu_ms(lambda: patch.build_update(base, after))
    apply_ms = _mean_cpu_ms(lambda: patch.apply_update(before, update).ok)
    bytes_per_s = body_bytes * EDITS_PER_DAY / DAY_S
    print(
        ROW_FORMAT.format(
            workspace_count,
            form,
            edit,
            body_bytes,
            f"{build_ms:.2f}",
            f"{apply_ms:.2f}",
            f"{bytes_per_s:.1f}",
        )
    )
    return bytes_per_s


def _print_fan_out_costs():
    """Prints the processor time to build one edit's updates of all links.

    In build mode `each` an update is built for every link; in mode `once` it
    is built for the first link and cached for the others.
    """
    document = config_document(WORKSPACE_COUNTS[-1])
    before = snapshot.build(1, document)
    after = snapshot.build(2, dict(next(_edited_documents(document))[1]))

    def build_for_each_link():
        for _ in range(LINK_COUNT):
            patch.build_update(before, after)

    def build_once():
        update_for = patch.cached_update_builder(before, after)
        for _ in range(LINK_COUNT):
            update_for(before.version)

    for name, build_updates in (
        ("each", build_for_each_link),
        ("once", build_once),
    ):
        edit_ms = _mean_cpu_ms(build_updates)
        core_share = edit_ms / 1_000 * EDITS_PER_DAY / DAY_S
        print(
            f"{LINK_COUNT} links, build mode {name}:"
            f" {edit_ms:.1f} ms an edit,"
            f" {core_share:.2%} of a core over a day"
        )


def main():
    """Prints the table; returns 1 if a patch exceeds the traffic budget."""
    headings = ("workspaces", "form", "edit", "bytes", "build ms", "apply ms")
    print(ROW_FORMAT.format(*headings, "mean bytes/s"))
    over_budget = False
    for workspace_count in WORKSPACE_COUNTS:
        document = config_document(workspace_count)
        before = snapshot.build(1, document)
        for edit, edited in _edited_documents(document):
            after = snapshot.build(2, edited)
            _print_row(workspace_count, edit, "whole", None, before, after)
            bytes_per_s = _print_row(
                workspace_count, edit, "patch", before, before, after
            )
            over_budget = over_budget or bytes_per_s > MAX_PATCH_BYTES_PER_S
    _print_fan_out_costs()
    return 1 if over_budget else 0


if __name__ == "__main__":
    sys.exit(main())
