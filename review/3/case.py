"""Both replicas of a service crash while a popular lookup is under way."""

from pathlib import Path
import sys
import threading
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

import lab as lab_module  # noqa: E402

GATEWAY_COUNT = 2
CALLERS = 8
HOT_PATH = "/lookup/2f"
OTHER_PATH = "/lookup/30"
WARM_UP_S = 2.0
DOWN_S = 2.5
# The replicas are back for so long before requests are judged.
CALM_S = 15.0
JUDGED_REQUESTS = 40
JUDGED_INTERVAL_S = 0.1
# DENIED allows 5 and one in 500 of all requests.
ALLOWED = 5
ALLOWED_RATIO = 1 / 500


def play(lab):
    """Plays a crash; returns whether DENIED was broken, and a text."""
    lab.start_store()
    lab.put_config(
        lab_module.configuration(
            1, [lab_module.route("lookup", "idempotent", 2)]
        )
    )
    replicas = {
        name: lab.start_replica(name, work_s=0.06)
        for name in ("replica-a", "replica-b")
    }
    started = [lab.start_gateway(number) for number in range(GATEWAY_COUNT)]
    lab.wait_ready([gateway for gateway, _ in started])
    fronts = [front for _, front in started]
    time.sleep(2.0)
    is_hot = threading.Event()
    is_hot.set()
    callers = [
        threading.Thread(
            target=ask_until_stopped,
            args=(lab, fronts[number % GATEWAY_COUNT], number, is_hot),
        )
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    time.sleep(WARM_UP_S)
    if lab.has_trouble:
        for replica, _ in replicas.values():
            replica.kill()
        lab.record("crash", replicas=list(replicas))
    is_hot.clear()
    for caller in callers:
        caller.join()
    if lab.has_trouble:
        time.sleep(DOWN_S)
        for name in replicas:
            lab.start_replica(name, work_s=0.06)
    time.sleep(CALM_S)
    for number in range(JUDGED_REQUESTS):
        front = fronts[number % GATEWAY_COUNT]
        lab.send(front, f"judged-{number}", "GET", HOT_PATH)
        lab.send(front, f"other-{number}", "GET", OTHER_PATH)
        time.sleep(JUDGED_INTERVAL_S)
    return judge(lab)


def ask_until_stopped(lab, front, number, is_hot):
    """Asks for the same thing, one request after the other."""
    count = 0
    while is_hot.is_set():
        count += 1
        lab.send(front, f"hot-{number}-{count}", "GET", HOT_PATH)


def judge(lab):
    """Returns whether too many proper requests were denied, and a text."""
    requests = [
        line for line in lab.read_record() if line["what"] == "request"
    ]
    judged = [one for one in requests if one["id"].startswith("judged-")]
    others = [one for one in requests if one["id"].startswith("other-")]
    # An answer of a replica bears its signature.
    denied = [
        one
        for one in judged
        if 300 <= one["status"] < 500
        and one["status"] not in (408, 421, 429)
        and not one["signature"]
    ]
    served = sum(one["status"] == 200 for one in others)
    if not served:
        raise lab_module.CouldNotRun("the replicas serve nothing")
    limit = ALLOWED + ALLOWED_RATIO * len(requests)
    statuses = sorted({one["status"] for one in denied})
    return len(denied) > limit, (
        f"{len(denied)} of {len(judged)} lookups of {HOT_PATH} were denied"
        f" by the gateways (status {statuses}) while {served} of"
        f" {len(others)} of {OTHER_PATH} were served; allowed are"
        f" {limit:.1f} of {len(requests)}"
    )


if __name__ == "__main__":
    lab_module.play(Path(__file__).resolve().parent, play)
