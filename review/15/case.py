"""A replica turns requests away and wants none for ninety seconds.

Checks how many reach it in that time.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "support-3"))

import deployment  # noqa: E402
import http_messages as http  # noqa: E402
import runner  # noqa: E402

REQUESTS_PER_S = 20
REFUSE_AT_S = 3.0
REFUSE_S = 1.0
RETRY_AFTER_S = 90
LOAD_S = 82.0
DEADLINE_S = 2.0
SLACK_S = 0.5
ALLOWED_REQUESTS = 2
REPLICAS = {
    "framing": "length",
    "refuse_s": REFUSE_S,
    "retry_after_s": RETRY_AFTER_S,
}


async def play(site, record, is_disrupted):
    """Plays the case; see `case`."""
    names = ["booking-1", "booking-2", "booking-3"]
    for name in names:
        site.start_replica(name, "plain_replica.py", "booking", **REPLICAS)
    await site.put_config(
        deployment.configuration(
            1,
            [deployment.route("look", "idempotent", "booking", attempts=2)],
            [deployment.plain_service("booking")],
        )
    )
    site.start_gateway("gateway-1")
    await site.wait_until_ready("gateway-1")
    statuses = []

    async def send(number):
        request_id = f"r{number:05d}"
        headers = {
            "Host": deployment.HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        record("sent", request=request_id)
        answer = await http.exchange(
            site.front("gateway-1"),
            http.encode_request("GET", f"/look/{number}", headers),
            DEADLINE_S + 0.5,
        )
        record("answered", request=request_id, status=answer.status)
        statuses.append(answer.status)

    async def refuse():
        await asyncio.sleep(REFUSE_AT_S)
        record("refuses", replica=names[0], retry_after_s=RETRY_AFTER_S)
        site.replicas[names[0]].signal(signal.SIGUSR1)

    tasks = [asyncio.create_task(refuse())] if is_disrupted else []
    for number in range(int(REQUESTS_PER_S * LOAD_S)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    if statuses.count(200) < len(statuses) / 2:
        raise deployment.CannotRun("less than half is served")
    entries = [
        one for one in site.read_journal() if one["replica"] == names[0]
    ]
    refused_s = [one["at_s"] for one in entries if one["event"] == "refused"]
    if not refused_s:
        if is_disrupted:
            raise deployment.CannotRun("it has refused no request")
        return []
    arrivals_s = [
        one["at_s"] - refused_s[0]
        for one in entries
        if one["event"] == "arrival"
        and refused_s[0] + SLACK_S < one["at_s"] < refused_s[0] + RETRY_AFTER_S
    ]
    record("counted", refused=len(refused_s), arrivals=len(arrivals_s))
    if len(arrivals_s) <= ALLOWED_REQUESTS:
        return []
    return [
        f"BUDGET: {len(arrivals_s)} requests reached a replica from"
        f" {arrivals_s[0]:.1f} s after it had asked for {RETRY_AFTER_S} s"
        f" without any, {ALLOWED_REQUESTS} are allowed"
    ]


def case(site, record, is_disrupted):
    """Returns the break of the rule, if too many requests reach it."""
    return play(site, record, is_disrupted)


if __name__ == "__main__":
    runner.run(case, FOLDER)
