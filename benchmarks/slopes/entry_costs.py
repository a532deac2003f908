"""What one more link, stream, token, request or workspace costs an entry."""

import time

from benchmarks.slopes import deployment as stage_module
from benchmarks.slopes import resource_usage

SETTLE_S = 3.0
WINDOW_S = 6.0


def links(count, reports=True, **farm):
    """Returns what so many idle links cost an entry."""
    with stage_module.new() as stage:
        entry = stage_module.start_entry(
            stage, count, reports=reports, streaming=False, **farm
        )
        time.sleep(SETTLE_S)
        return _window(stage, entry)


def streams(count, targets=4):
    """Returns the memory of an entry with so many streams open."""
    with stage_module.new() as stage:
        entry = stage_module.start_entry(stage, targets, streaming=False)
        stage.start_callers("e0", streams=count, max_tokens=1_000_000)
        _wait(lambda: stage.farm_stats()["streams"] >= count)
        time.sleep(SETTLE_S)
        return {
            "resident_bytes": resource_usage.resident_bytes(entry.pid),
            "streams": stage.farm_stats()["streams"],
        }


def tokens(count, tokens_each=1, targets=4, tick_s=0.05):
    """Returns what an entry spends on streams that get tokens."""
    with stage_module.new() as stage:
        entry = stage_module.start_entry(
            stage, targets, tokens_each=tokens_each, tick_s=tick_s
        )
        stage.start_callers("e0", streams=count, max_tokens=1_000_000)
        _wait(lambda: stage.farm_stats()["streams"] >= count)
        time.sleep(SETTLE_S)
        return _window(stage, entry)


def requests(rate_per_s, targets=4, targets_per_model=4):
    """Returns what an entry spends on requests of one token."""
    with stage_module.new() as stage:
        entry = stage_module.start_entry(
            stage, targets, targets_per_model, tick_s=0.02
        )
        stage.start_callers("e0", rate_per_s=rate_per_s, max_tokens=1)
        time.sleep(SETTLE_S)
        return _window(stage, entry)


def workspaces(count):
    """Returns the memory of an entry with a configuration of this size."""
    with stage_module.new() as stage:
        entry = stage_module.start_entry(stage, 4, workspaces=count)
        time.sleep(SETTLE_S)
        return {"resident_bytes": resource_usage.resident_bytes(entry.pid)}


def _window(stage, entry):
    """Returns what an entry and its links used in a window of time."""
    before = stage.farm_stats()
    cpu_s = resource_usage.cpu_s(entry.pid)
    started_s = time.monotonic()
    time.sleep(WINDOW_S)
    spent_s = time.monotonic() - started_s
    used_s = resource_usage.cpu_s(entry.pid) - cpu_s
    after = stage.farm_stats()
    moved = {
        name: (after[name] - before[name]) / spent_s
        for name in ("wire_bytes", "tokens", "frames", "starts")
    }
    return {
        "cpu_s_per_s": used_s / spent_s,
        "resident_bytes": resource_usage.resident_bytes(entry.pid),
        "peak_bytes": resource_usage.peak_bytes(entry.pid),
        **{f"{name}_per_s": rate for name, rate in moved.items()},
    }


def _wait(condition, limit_s=60.0):
    """Waits until a condition holds."""
    end_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("the streams did not open in time")
        time.sleep(0.2)
