"""Runs a case and writes its record.

A case is a function that gets the deployment, the record and whether the
disruption takes place. It returns a coroutine that plays it and returns a list
of breaks of its rule.
"""

import asyncio
import json
import os
from pathlib import Path
import signal
import sys
import time
import traceback

import deployment

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, event: str, **fields) -> None:
        """Writes a line."""
        line = {
            "s": round(time.monotonic() - self._began_s, 3),
            "event": event,
            **fields,
        }
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def write_journal(self, entries: list[dict]) -> None:
        """Adds what the replicas recorded."""
        for entry in entries:
            fields = dict(entry)
            at_s = fields.pop("at_s") - self._began_s
            event = fields.pop("event")
            line = {"s": round(at_s, 3), "event": f"replica {event}", **fields}
            self._file.write(json.dumps(line) + "\n")
        self._file.flush()


def run(case, folder: str) -> None:
    """Runs a case and exits with its result."""
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    # Ends by an exception, so that all processes are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(Path(folder) / "record.txt")
    record("begin", trouble=is_disrupted)
    result = COULD_NOT_RUN
    site = None
    try:
        site = deployment.Deployment(record)
        breaks = asyncio.run(
            asyncio.wait_for(case(site, record, is_disrupted), LIMIT_S)
        )
        record.write_journal(site.read_journal())
        for one in breaks:
            record("break", what=one)
            print(f"broken: {one}")
        result = RULE_BROKEN if breaks else RULE_HELD
    except Exception:
        record("could_not_run", why=traceback.format_exc())
        traceback.print_exc()
        if site is not None and os.environ.get("KEEP_LOGS"):
            for name, gateway in site.gateways.items():
                print(name, gateway.log[-3000:])
    finally:
        if site is not None:
            if os.environ.get("KEEP_LOGS"):
                keep = Path(os.environ["KEEP_LOGS"])
                keep.mkdir(parents=True, exist_ok=True)
                for name, process in site.gateways.items():
                    (keep / f"{name}.log").write_text(process.log)
            site.stop()
    record("end", result=result)
    print(("rule held", "rule broken", "could not run")[result])
    sys.exit(result)
