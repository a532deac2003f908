"""The operator takes away the last tenant, and with it all keys."""

from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import clients  # noqa: E402
import configs  # noqa: E402
import deployment as deployments  # noqa: E402

CONFIG_APPLY_S = 2.0
MARGIN_S = 2.0
REQUESTS = 20
NEVER_HELD = "key-of-nobody"


def send(deployment, address, request_id, key):
    """Sends one booking; returns the answer."""
    caller = clients.Caller(address, 5.0)
    answer = caller.send(
        "POST", "/book/1", configs.headers(request_id, 1000, key), b"{}"
    )
    caller.close()
    deployment.note(
        "answer",
        request=request_id,
        key=key,
        status=answer.status,
        body_bytes=len(answer.body),
    )
    return answer


def case(deployment):
    """Returns whether no request ran with a key that no longer holds."""
    deployment.start_store()
    deployment.put_config(configs.shop())
    for number in range(3):
        deployment.start_replica(f"booking-{number}", "booking")
    address = deployment.start_gateway("edge-a-1")
    time.sleep(2.0)
    if send(deployment, address, "before", configs.KEY).status != 200:
        raise deployments.CouldNotRun("no request was served")
    if send(deployment, address, "before-wrong", NEVER_HELD).status != 401:
        raise deployments.CouldNotRun("a wrong key was not refused")
    is_revoked = deployments.has_trouble()
    deployment.put_config(
        configs.shop(tenants=[] if is_revoked else configs.TENANTS)
    )
    time.sleep(CONFIG_APPLY_S + MARGIN_S)
    for number in range(REQUESTS):
        send(deployment, address, f"after-{number}", configs.KEY)
        send(deployment, address, f"wrong-{number}", NEVER_HELD)
    ran = [run["request"] for run in deployment.runs()]
    dropped = [name for name in ran if name.startswith("after-")]
    never_held = [name for name in ran if name.startswith("wrong-")]
    deployment.note("ran with the key of the tenant", requests=dropped)
    deployment.note("ROUTE: ran with a key never held", requests=never_held)
    if not is_revoked:
        return len(dropped) == REQUESTS and not never_held
    deployment.note("CONFIG: ran with a dropped key", requests=dropped)
    return not dropped and not never_held


if __name__ == "__main__":
    deployments.play(FOLDER, case)
