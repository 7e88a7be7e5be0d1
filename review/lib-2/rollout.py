"""A rollout as the operator and the platform play it, and the check of EXPOSURE."""

import asyncio
import random

from sim import BOUNDS, config, exchange, new_id, now, plain_service, request_headers, response, route

DRAIN_DELAY = 4.0  # from `rolled_back` to the report `draining` of the new runners: "some seconds later"


class Version:
    """Behaviour of the runners of a version. `fails` decides on a response, and `answer` sends it."""

    def __init__(self, fails=lambda: False, answer=None):
        self.fails, self.answer = fails, answer or framed(500)
        self.bad = {}

    async def __call__(self, runner, id, headers, body, reader, writer):
        await asyncio.sleep(runner.work)
        failed = self.fails()
        if failed:
            self.bad.setdefault(runner.service, []).append(now())
        runner.record("runner:", runner.id, "answers", id, "with a failure" if failed else "with success")
        await (self.answer if failed else framed(200))(runner, id, writer)


def echo(runner, id):
    return {"X-Bilberryfront-Attempt-Id": id, "X-Bilberryfront-Server-Stamp": runner.stamp()}


def framed(status):
    async def send(runner, id, writer):
        writer.write(response(status, echo(runner, id), b"fine" if status == 200 else b"failed"))
    return send


def until_close(status):
    """An answer that has no length and ends with its connection."""
    async def send(runner, id, writer):
        writer.write(response(status, {**echo(runner, id), "Connection": "close"}, b"failed", length=False))
        await writer.drain()
        raise ConnectionError("the answer ends")
    return send


async def traffic(sim, service, rate, stop):
    """Clients of a service, on kept connections."""
    idle, tasks = {i.name: [] for i in sim.instances}, set()

    async def one():
        instance, id = random.choice(sim.instances), new_id()
        connection = idle[instance.name].pop() if idle[instance.name] else None
        sim.record("client: sends", id, "to", instance.name)
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(*instance.front), 1)
            exchanged = exchange(*connection, "POST", f"/{service}/1", request_headers(id), b"x")
            status, headers, _ = await asyncio.wait_for(exchanged, 3)
            sim.record("client:", id, "gets", status, "from", instance.name)
            if headers.get("connection", "").lower() == "close" or "content-length" not in headers:
                connection[1].close()
            else:
                idle[instance.name].append(connection)
        except Exception as error:
            sim.record("client:", id, "gets", repr(error), "from", instance.name)
            if connection:
                connection[1].close()

    while not stop.is_set():
        task = asyncio.create_task(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(random.expovariate(rate))
    await asyncio.gather(*tasks)


async def roll_out(sim, service, version, duration):
    """Orders the new version, and does what the platform does when the status is final."""
    old = [r for r in sim.runners if r.service == service]
    new = [await sim.runner(service, version="v2", behave=version) for _ in range(3)]
    await asyncio.sleep(random.uniform(0.3, 1.0))
    start = now()
    await sim.store.put("op", f"rollout/{service}", {"service": service, "to": "v2", "duration_s": duration})
    sim.record("operator: orders v2 of", service)
    state = lambda: (sim.store.value("status", f"rollout/{service}") or {}).get("state")
    while now() < start + duration:
        if state() == "completed":
            sim.record("operator: reads completed of", service)
            await asyncio.gather(*(r.leave() for r in old))
            break
        if state() == "rolled_back":
            sim.record("operator: reads rolled_back of", service)
            await asyncio.sleep(DRAIN_DELAY)
            await asyncio.gather(*(r.drain() for r in new))
            break
        await asyncio.sleep(0.01)
    await asyncio.sleep(max(0, start + duration - now()))
    return service, start, new, state()


def judge(sim, service, start, new, state, duration, bad):
    """EXPOSURE of one rollout: whether a version with these bad answers got too much, and what was seen."""
    deadline = start + duration
    share = sum(start <= t <= deadline for r in sim.runners if r.service == service for t, _, _ in r.arrivals)
    got = [t for r in new for t, _, _ in r.arrivals]
    exposed = sum(start <= t <= deadline for t in got)
    bound = BOUNDS["exposure_share"] * share + BOUNDS["exposure_slack"]
    late = 0
    if len(bad) >= 50:
        late = sum(t > sorted(bad)[49] + BOUNDS["rollback_ms"] / 1000 for t in got)
    broken = bool(bad) and (exposed > bound or late > 0)
    seen = (f"{service}: {state}, v2 got {exposed} of {share} before its deadline (bound {bound:.0f}), "
            f"{len(bad)} bad answers, {late} requests later than 5 s after the 50th")
    return broken, seen + (", BROKEN" if broken else "")


async def play(sim, version, services, rate, duration):
    """Rolls out `version` of each service at the same time. Returns whether EXPOSURE was broken, and what was seen."""
    routes = [route(f"lodge-{s}", f"/{s}/", "non_idempotent", s, max_attempts=1) for s in services]
    await sim.start(config(routes, [plain_service(s) for s in services]))
    for service in services:
        for _ in range(3):
            await sim.runner(service, version="v1")
    await asyncio.sleep(2)
    stop = asyncio.Event()
    clients = [asyncio.create_task(traffic(sim, service, rate, stop)) for service in services]
    await asyncio.sleep(3)
    ends = await asyncio.gather(*(roll_out(sim, service, version, duration) for service in services))
    stop.set()
    await asyncio.gather(*clients)
    found = [judge(sim, *end, duration, version.bad.get(end[0], [])) for end in ends]
    return any(broken for broken, _ in found), "; ".join(seen for _, seen in found)
