"""Runs a program whose time of day jumps, as a machine's may.

SIGUSR1 puts it ahead, SIGUSR2 back again; other clocks go on as they were.
"""

import pathlib
import runpy
import signal
import sys
import time

STEP_S = 10.0


def main() -> None:
    """Runs the script of the command line."""
    true_time = time.time
    ahead_s = 0.0

    def step(number, frame):
        nonlocal ahead_s
        ahead_s = STEP_S if number == signal.SIGUSR1 else 0.0

    time.time = lambda: true_time() + ahead_s
    for number in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(number, step)
    del sys.argv[0]
    sys.path[0] = str(pathlib.Path(sys.argv[0]).parent)
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
