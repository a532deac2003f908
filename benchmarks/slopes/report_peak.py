"""Runs a module as a program and writes its peak memory to a file.

`python -m benchmarks.slopes.report_peak FILE MODULE [ARGUMENT...]`

The `ru_maxrss` that a parent gets of a child includes the parent's own memory,
of which the child is a copy until it runs its program. The kernel counts the
peak in `/proc/self/status` anew from there.
"""

import atexit
import runpy
import sys

STATUS_PATH = "/proc/self/status"
PEAK_FIELD = "VmHWM:"


def write_peak_kib(path: str) -> None:
    """Writes the peak resident memory of this process, in KiB."""
    with open(STATUS_PATH) as status:
        for line in status:
            if line.startswith(PEAK_FIELD):
                with open(path, "w") as report:
                    report.write(line.split()[1])


if __name__ == "__main__":
    atexit.register(write_peak_kib, sys.argv[1])
    module = sys.argv[2]
    sys.argv[:] = sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
