"""A plain replica crashes while it writes answers without a length."""

from pathlib import Path
import random
import sys
import threading
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import clients  # noqa: E402
import configs  # noqa: E402
import deployment as deployments  # noqa: E402

BODY_BYTES = 800
REPLICAS = 6
CALLERS = 18
LENGTH_S = 8.0
CRASH_S = 4.0


def whole_body(request_id, path):
    """Returns the whole body of the replica's answer."""
    return (f"{request_id} {path}\n".encode() * 40)[:BODY_BYTES]


def call_until(address, number, end_s, seen):
    """Sends one request after the other on one connection."""
    rng = random.Random(number)
    caller = clients.Caller(address, 5.0)
    count = 0
    while time.monotonic() < end_s:
        # Callers are at different points of their answers.
        time.sleep(rng.uniform(0.0, 0.1))
        count += 1
        request_id = f"c{number}-{count}"
        is_lookup = number % 2 == 0
        method, path, body = (
            ("GET", f"/lookup/{number}", b"")
            if is_lookup
            else ("POST", f"/book/{number}", b'{"hall":1}')
        )
        answer = caller.send(
            method, path, configs.headers(request_id, 1500), body
        )
        seen.append((request_id, path, answer))
        if (
            not answer.is_whole
            or answer.headers.get("connection", "").lower() == "close"
        ):
            caller.close()
            caller = clients.Caller(address, 5.0)
    caller.close()


def case(deployment):
    """Returns whether no answer that ended early looked complete."""
    deployment.start_store()
    deployment.put_config(configs.shop())
    for number in range(REPLICAS):
        deployment.start_replica(
            f"booking-{number}", "booking", "--unframed",
            "--body-bytes", BODY_BYTES, "--piece-s", 0.04,
        )  # fmt: skip
    address = deployment.start_gateway("edge-a-1")
    time.sleep(2.0)
    seen = []
    end_s = time.monotonic() + LENGTH_S
    threads = [
        threading.Thread(target=call_until, args=(address, n, end_s, seen))
        for n in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(CRASH_S)
    if deployments.has_trouble():
        deployment.kill("booking-0")
    for thread in threads:
        thread.join()
    if not any(answer.status == 200 for _, _, answer in seen):
        raise deployments.CouldNotRun("no request was served")
    broken = 0
    for request_id, path, answer in seen:
        is_truncated = (
            200 <= answer.status < 300
            and answer.is_whole
            and answer.body != whole_body(request_id, path)
        )
        broken += is_truncated
        deployment.note(
            "MIXED: a success whose body isn't whole"
            if is_truncated
            else "answer",
            request=request_id,
            path=path,
            status=answer.status,
            signature=answer.headers.get("response-signature", ""),
            body_bytes=len(answer.body),
            is_whole=answer.is_whole,
            error=answer.error,
        )
    deployment.note(f"{len(seen)} answers, {broken} broke the rule")
    return broken == 0


if __name__ == "__main__":
    deployments.play(FOLDER, case)
