"""The operator allows longer headers while callers keep connections."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import clients  # noqa: E402
import configs  # noqa: E402
import deployment as deployments  # noqa: E402

NARROW_BYTES = 4096
WIDE_BYTES = 16_384
NOTE_BYTES = 8000
CALLERS = 30
WAIT_S = 4.0


def limits(header_bytes):
    """Returns a configuration with a limit on headers."""
    return configs.shop(
        limits={**configs.LIMITS, "max_header_bytes": header_bytes}
    )


def case(deployment):
    """Returns whether proper requests are served after the change."""
    is_changed = deployments.has_trouble()
    deployment.start_store()
    deployment.put_config(limits(NARROW_BYTES if is_changed else WIDE_BYTES))
    for number in range(3):
        deployment.start_replica(f"booking-{number}", "booking")
    address = deployment.start_gateway("edge-a-1")
    time.sleep(2.0)
    callers = [clients.Caller(address, 5.0) for _ in range(CALLERS)]
    for number, caller in enumerate(callers):
        headers = configs.headers(f"before-{number}")
        answer = caller.send("GET", "/lookup/1", headers)
        if answer.status != 200:
            raise deployments.CouldNotRun(f"answered {answer}")
    if is_changed:
        deployment.put_config(limits(WIDE_BYTES))
    time.sleep(WAIT_S)
    denied = 0
    for number, caller in enumerate(callers):
        answer = caller.send(
            "GET",
            "/lookup/1",
            [*configs.headers(f"after-{number}"), ("Note", "n" * NOTE_BYTES)],
        )
        denied += 300 <= answer.status < 500
        deployment.note(
            "answer",
            request=f"after-{number}",
            status=answer.status,
            error=answer.error,
        )
    allowed = 5 + 2 * CALLERS / 500
    deployment.note(f"DENIED: {denied} of {2 * CALLERS} requests")
    return denied <= allowed


if __name__ == "__main__":
    deployments.play(FOLDER, case)
