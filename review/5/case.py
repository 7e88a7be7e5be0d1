"""An instance is stopped while it carries streams that may not be resumed; their runners' answers have no length."""

import asyncio
import collections
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from sim import *  # noqa: F403

SERVICE = "redactor-lm"
RATE = 30            # streams a second
EVENTS, GAP = 20, 0.04
BEFORE, AFTER = 1.0, 2.0   # streams sent so long before and after the SIGTERM are judged


async def play(sim):
    whole = {}     # attempt: time at which its runner had sent the whole answer and closed in order

    async def generate(runner, id, headers, body, reader, writer):
        echo = {"X-Bilberryfront-Attempt-Id": id, "X-Bilberryfront-Server-Stamp": runner.stamp(),
                "Content-Type": "text/event-stream"}
        await asyncio.sleep(0.05)
        if sim.trouble:
            writer.write(response(200, {**echo, "Connection": "close"}, b"", length=False))
        else:
            writer.write(response(200, {**echo, "Transfer-Encoding": "chunked"}, b"", length=False))
        for number in range(1, EVENTS + 1):
            data = f"id: {number}\ndata: {number} of {id}\n\n".encode()
            writer.write(data if sim.trouble else b"%x\r\n%s\r\n" % (len(data), data))
            runner.running[id] = number
            await writer.drain()
            await asyncio.sleep(GAP)
        if not sim.trouble:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        whole[id] = now()
        runner.record("runner:", runner.id, "has sent the whole answer to", id)
        if sim.trouble:
            raise ConnectionError("the answer ends with its connection")

    service = dict(name=SERVICE, health_path="/healthz", max_conns=230, protocol="h1", tls=False,
                   engine=dict(slots=32, kv_tokens=55_000, kv_token_bytes=327_680, link_mbps=220_000.0, moves=True,
                               backups=True, stride=5, most=12, handle_s=4.0, models=[dict(name="m")]))
    ruling = route("ruling", "/ruling/", "streaming", SERVICE, max_attempts=5, timeout_ms=25_000, target_latency_ms=4_500,
                   target_gap_ms=700, resumable=False, sticky=True)
    await sim.start(config([ruling], [service]))
    for _ in range(6):
        await sim.runner(SERVICE, slots=32, behave=generate)
    await asyncio.sleep(4)
    answers, idle, stop = {}, collections.defaultdict(list), False

    async def one():
        instance, id, sent = random.choice(sim.instances), new_id(), now()
        headers = request_headers(id, 25_000, **{"X-Bilberryfront-Model": "m", "X-Bilberryfront-Token-Counts": "200,100",
                                                 "X-Bilberryfront-Prompt-Prefix": f"{random.getrandbits(32):08x}:200"})
        try:
            connection = idle[instance.name].pop() if idle[instance.name] else await asyncio.open_connection(*instance.front)
        except OSError:
            return
        status, end = None, "not answered"
        sim.record("client: sends", id, "to", instance.name)
        try:
            status, found, body = await asyncio.wait_for(exchange(*connection, "POST", "/ruling/1", headers, b"draft"), 26)
            end = "whole" if body.count(b"\n\n") == EVENTS or status != 200 else "short"
            if "chunked" in found.get("transfer-encoding", "") and found.get("connection", "") != "close":
                idle[instance.name].append(connection)
            else:
                connection[1].close()
        except Exception as error:
            end = f"not complete ({type(error).__name__})"
            connection[1].close()
        answers[id] = (instance, sent, status, end)
        sim.record("client:", id, "sent at", f"{sent:.3f} to", instance.name, "gets", status, end)

    async def clients():
        tasks = set()
        while not stop:
            task = asyncio.create_task(one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(RATE))
        await asyncio.wait(tasks, timeout=5)

    traffic, stopped = asyncio.create_task(clients()), []
    for instance in sim.instances:
        await asyncio.sleep(5)
        process = instance.process
        instance.signal(signal.SIGTERM)
        stopped.append((instance, now()))
        while process.poll() is None:
            await asyncio.sleep(0.01)
        sim.record("instance:", instance.name, "has ended")
        instance.start()
        await instance.ready()
    stop = True
    await traffic
    judged = [(id, end) for id, (instance, sent, status, end) in answers.items()
              if id in whole and any(i is instance and t - BEFORE <= sent <= t + AFTER for i, t in stopped)]
    lost = [id for id, end in judged if end != "whole"]
    for id in lost:
        sim.record("LOST:", id, answers[id][3], "though its runner had sent all at", f"{whole[id]:.3f}")
    return bool(lost), (f"{len(lost)} of {len(judged)} streams around a SIGTERM, whose runners sent all and closed in order, had no "
                        f"complete answer; of all {len(answers)}: {dict(collections.Counter(a[3] for a in answers.values()))}")


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), play, instances=3)
