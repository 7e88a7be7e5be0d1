"""A new order follows a version that was rolled back, whose runners have not drained yet."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from sim import *  # noqa: F403

SERVICE = "desk-app"
RATE = 60                # requests a second
DURATION = 12            # of the first order, in seconds
ORDER_AFTER = 1.0        # from `rolled_back` to the next order
DRAIN_AFTER = 5.0        # from `rolled_back` to the report `draining`: "some seconds later"
BAD_SHARE = 0.4


async def play(sim):
    bad, served = [], []

    async def bad_version(runner, id, headers, body, reader, writer):
        await asyncio.sleep(runner.work)
        echo = {"X-Bilberryfront-Attempt-Id": id, "X-Bilberryfront-Server-Stamp": runner.stamp()}
        failed = random.random() < BAD_SHARE
        if failed:
            bad.append(now())
        writer.write(response(500 if failed else 200, echo, b"failed" if failed else b"fine"))
        runner.record("runner:", runner.id, "answers", id, "500" if failed else "200")

    routes = [route("lodge", "/lodge/", "non_idempotent", SERVICE, max_attempts=1)]
    await sim.start(config(routes, [plain_service(SERVICE)]))
    for _ in range(3):
        await sim.runner(SERVICE, version="v1")
    await asyncio.sleep(2)
    stop = False

    async def one():
        instance, id = random.choice(sim.instances), new_id()
        try:
            status, headers, _ = await call(instance.front, "POST", "/lodge/1", request_headers(id), b"x", 3)
            served.append(status)
            sim.record("client:", id, "gets", status, "from", instance.name)
        except Exception as error:
            sim.record("client:", id, "gets", repr(error), "from", instance.name)

    async def traffic():
        tasks = set()
        while not stop:
            task = asyncio.create_task(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(RATE))
        await asyncio.gather(*tasks)

    clients = asyncio.create_task(traffic())
    await asyncio.sleep(3)
    new = [await sim.runner(SERVICE, version="v2", behave=bad_version) for _ in range(3)]
    await asyncio.sleep(0.5)
    ordered = now()
    await sim.store.put("op", f"rollout/{SERVICE}", {"service": SERVICE, "to": "v2", "duration_s": DURATION})
    sim.record("operator: orders v2")
    status = lambda: (sim.store.value("status", f"rollout/{SERVICE}") or {})
    while status().get("state") != "rolled_back" and now() < ordered + DURATION:
        await asyncio.sleep(0.02)
    rolled_back = now()
    at_rollback = sum(len(r.arrivals) for r in new)
    sim.record("operator: reads", status())

    async def drain():
        await asyncio.sleep(DRAIN_AFTER)
        await asyncio.gather(*(r.drain() for r in new))
        await asyncio.sleep(4)
        await asyncio.gather(*(r.leave() for r in new))

    draining = asyncio.create_task(drain())
    if sim.trouble:
        await asyncio.sleep(ORDER_AFTER)
        for _ in range(3):
            await sim.runner(SERVICE, version="v3")
        await sim.store.put("op", f"rollout/{SERVICE}", {"service": SERVICE, "to": "v3", "duration_s": DURATION})
        sim.record("operator: orders v3")
    await asyncio.sleep(max(0, ordered + DURATION - now()))
    await draining
    stop = True
    await clients
    deadline = ordered + DURATION
    every = [t for r in sim.runners for t, _, _ in r.arrivals]
    share = sum(ordered <= t <= deadline for t in every)
    got = [t for r in new for t, _, _ in r.arrivals]
    exposed = sum(ordered <= t <= deadline for t in got)
    bound = BOUNDS["exposure_share"] * share + BOUNDS["exposure_slack"]
    late = 0
    if len(bad) >= 50:
        late = sum(t > sorted(bad)[49] + BOUNDS["rollback_ms"] / 1000 for t in got)
    seen = (f"rolled back {rolled_back - ordered:.1f} s after the order ({status()}); v2 got {exposed} of {share} requests "
            f"before its deadline (bound {bound:.0f}), {at_rollback} of them before rolled_back; {len(bad)} bad answers, "
            f"{late} requests later than 5 s after the 50th")
    return exposed > bound or late > 0, seen


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), play, instances=3)
