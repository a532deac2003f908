"""Measures `hemlocktiller check` on configurations of given sizes."""

import json
import os
from pathlib import Path
import subprocess
import sys
import tempfile

from benchmarks import config_bytes
from benchmarks.slopes import resource_usage

PEAK_MODULE = "benchmarks.slopes.report_peak"
OPERATOR_MODULE = "hemlocktiller._internal.cli.operator"


def measure_check(workspace_count):
    """Returns processor time and peak memory of one run of `check`.

    Args:
        workspace_count: Workspaces in the checked configuration file.
    """
    resource_usage.precompile_bytecode()
    with tempfile.TemporaryDirectory(
        prefix="hemlocktiller-lists-"
    ) as directory:
        path = Path(directory) / "lists.json"
        path.write_text(
            json.dumps(config_bytes.config_document(workspace_count))
        )
        peak_path = Path(directory) / "peak"
        command = [
            sys.executable, "-m", PEAK_MODULE, str(peak_path),
            OPERATOR_MODULE, "check", str(path),
        ]  # fmt: skip
        child = subprocess.Popen(
            command,
            stdout=subprocess.DEVNULL,
            cwd=resource_usage.REPOSITORY_ROOT,
        )
        _, status, usage = os.wait4(child.pid, 0)
        child.returncode = os.waitstatus_to_exitcode(status)
        if child.returncode != 0:
            raise RuntimeError(f"check exited with code {child.returncode}")
        peak_kib = int(peak_path.read_text())
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "peak_bytes": peak_kib * resource_usage.KIB,
    }
