"""Runs a Python program whose wall clock can be stepped.

SIGUSR1 sets `time.time` ahead by `STEP_S`, SIGUSR2 sets it back. Monotonic
clocks are not affected.
"""

import pathlib
import runpy
import signal
import sys
import time

STEP_S = 10.0


def main() -> None:
    """Runs the script that is given on the command line."""
    real_time = time.time
    offset_s = 0.0

    def step(signal_number, frame):
        nonlocal offset_s
        offset_s = STEP_S if signal_number == signal.SIGUSR1 else 0.0

    time.time = lambda: real_time() + offset_s
    for signal_number in (signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(signal_number, step)
    del sys.argv[0]
    sys.path[0] = str(pathlib.Path(sys.argv[0]).parent)
    runpy.run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
