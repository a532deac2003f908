"""What the operator's command spends on a configuration."""

import json
import os
from pathlib import Path
import subprocess
import sys
import tempfile

from benchmarks import config_bytes
from benchmarks.slopes import resource_usage

COMMAND = "hemlocktiller._internal.cli.operator"


def check(workspace_count):
    """Returns what `check` spends on a file with so many workspaces."""
    resource_usage.cache_byte_code()
    with tempfile.TemporaryDirectory(prefix="hemlocktiller-lists-") as folder:
        path = Path(folder) / "lists.json"
        path.write_text(
            json.dumps(config_bytes.config_document(workspace_count))
        )
        words = [sys.executable, "-m", COMMAND, "check", str(path)]
        child = subprocess.Popen(
            words, stdout=subprocess.DEVNULL, cwd=resource_usage.ROOT
        )
        _, status, used = os.wait4(child.pid, 0)
    child.returncode = os.waitstatus_to_exitcode(status)
    if child.returncode != 0:
        raise RuntimeError(f"check ended with {child.returncode}")
    return {
        "cpu_s": used.ru_utime + used.ru_stime,
        "peak_bytes": used.ru_maxrss * resource_usage.KIB,
    }
