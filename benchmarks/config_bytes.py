"""Measures what one edit of the configuration costs a node.

For several sizes it prints the bytes of the whole document and of a
patch, the processor time to make and to take in each, and the bytes a
second that a day's edits come to on one link. Then it prints the
processor time that one edit takes an entry with many links.
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
BUDGET_BYTES_PER_S = 4_096
ROW = "{:>10} {:>6} {:>8} {:>9} {:>10} {:>10} {:>12}"


def document_of(workspace_count):
    """Returns a configuration with so many workspaces."""
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
    """Returns one plan with its workspaces."""
    last = min(first + WORKSPACES_PER_PLAN, workspace_count)
    return {
        "plan": name,
        "share": 1 / workspace_count,
        "worth": 1.0,
        "deadline_s": 30.0,
        "limits": {"requests_per_s": 20},
        "workspaces": [_workspace(number) for number in range(first, last)],
    }


def _workspace(number):
    """Returns one workspace with the digest of a key."""
    digest = snapshot.key_digest(f"key-{number}")
    return {"workspace": f"workspace-{number:04}", "key_digest": digest}


def _edits(document):
    """Yields a name and an edited copy for usual edits."""
    edited = copy.deepcopy(document)
    edited["plans"][0]["share"] = 0.001
    yield "share", edited
    edited = copy.deepcopy(document)
    edited["plans"][0]["workspaces"].append(_workspace(99_999))
    yield "workspace", edited
    edited = copy.deepcopy(document)
    edited["allowances"][0]["models"].append("model-new")
    yield "allowance", edited


def _cpu_ms(work):
    """Returns the processor time of one call, in milliseconds."""
    work()
    started_s = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - started_s) / REPEATS * 1_000


def _row(workspace_count, edit, form, base, before, after):
    """Prints one measured row; returns the bytes a second of a day."""
    update = patch.build_update(base, after)
    body_bytes = len(update["body"])
    make_ms = _cpu_ms(lambda: patch.build_update(base, after))
    apply_ms = _cpu_ms(lambda: patch.apply_update(before, update).ok)
    bytes_per_s = body_bytes * EDITS_PER_DAY / DAY_S
    print(
        ROW.format(
            workspace_count,
            form,
            edit,
            body_bytes,
            f"{make_ms:.2f}",
            f"{apply_ms:.2f}",
            f"{bytes_per_s:.1f}",
        )
    )
    return bytes_per_s


def _print_fan_out():
    """Prints the time to make one edit's updates for many links."""
    document = document_of(WORKSPACE_COUNTS[-1])
    before = snapshot.build(1, document)
    after = snapshot.build(2, dict(next(_edits(document))[1]))

    def each():
        for _ in range(LINK_COUNT):
            patch.build_update(before, after)

    def once():
        update_for = patch.cached_update_builder(before, after)
        for _ in range(LINK_COUNT):
            update_for(before.version)

    for name, work in (("each", each), ("once", once)):
        edit_ms = _cpu_ms(work)
        core = edit_ms / 1_000 * EDITS_PER_DAY / DAY_S
        print(
            f"{LINK_COUNT} links, made {name}: {edit_ms:.1f} ms an edit,"
            f" {core:.2%} of a core over a day"
        )


def main():
    """Prints the table; returns 1 if a patch is over the budget."""
    heads = ("workspaces", "form", "edit", "bytes", "make ms", "apply ms")
    print(ROW.format(*heads, "bytes/s a day"))
    over = False
    for workspace_count in WORKSPACE_COUNTS:
        document = document_of(workspace_count)
        before = snapshot.build(1, document)
        for edit, edited in _edits(document):
            after = snapshot.build(2, edited)
            _row(workspace_count, edit, "whole", None, before, after)
            rate = _row(workspace_count, edit, "patch", before, before, after)
            over = over or rate > BUDGET_BYTES_PER_S
    _print_fan_out()
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main())
