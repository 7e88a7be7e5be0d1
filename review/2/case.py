"""Calls that may run at most once, while runners with few places reject some of them and one runner gives a few of its
answers a second time: the extra answer arrives where the next answer on the connection is expected."""

import collections
import http.client
import os
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from deployment import DEADLINE, ID, LIMITS, NOT_EXECUTED, Deployment, Record, Runner, encode, run, send  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "desk.example"
RUNNERS, INSTANCES, CLIENTS = 3, 3, 60
TRAFFIC_S = 45.0
# Two of three runners give 3 in 100 of their answers twice, 5 s long, each 6 s.
FAULTY, EXTRA_SHARE, EXTRA_S, EXTRA_EVERY_S = 2, 0.03, 5.0, 6.0


class DeskApp(Runner):
    slots = 6
    waiting = 3
    faulty = False

    def respond(self, connection, bytes, id, state, kind):
        """Answers; a faulty runner keeps a few answers to give them again when the next request has come."""
        extra, state["extra"] = state.get("extra"), None
        if extra:
            self.record("extra", id=extra[0], answer=extra[1], runner=self.id, at_request=id)
            connection.sendall(extra[2])
        elif TROUBLE and self.faulty and random.random() < EXTRA_SHARE:
            state["extra"] = (id, kind, bytes)
        connection.sendall(bytes)
        return True

    def serve(self, connection, request, id, state):
        time.sleep(random.uniform(0.03, 0.09))
        return self.respond(connection, encode(200, self.signed(id), b"x" * 800), id, state, 200)

    def reject(self, connection, id, state):
        self.record("rejected", id=id, runner=self.id)
        return self.respond(connection, encode(503, {ID: id, NOT_EXECUTED: "1"}), id, state, 503)


CONFIG = {
    "version": 1,
    "routes": [{
        "name": "r-lodge", "host": HOST, "prefix": "/lodge/", "kind": "non_idempotent", "timeout_ms": 800,
        "target_latency_ms": 100, "priority": 2, "service": "desk", "max_attempts": 1, "public": True, "sticky": False,
    }],
    "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": False}],
    "limits": LIMITS,
}


def client(record, addresses, end):
    ip, port = random.choice(addresses).split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=3)
    while time.monotonic() < end:
        send(record, connection, "POST", "/lodge/1", {"Host": HOST, DEADLINE: "1500"}, b"correction")
        time.sleep(random.expovariate(1 / 0.12))
    connection.close()


def main():
    record = Record(HERE / "record.txt")
    deployment = Deployment(record)
    try:
        deployment.store.put("op", "config", CONFIG)
        runners = [DeskApp(record, deployment.store, "desk", deployment.new_ip()) for _ in range(RUNNERS)]
        for _ in range(INSTANCES):
            deployment.start_instance()
        if not deployment.wait_until_ready():
            return 2
        time.sleep(3)
        addresses = deployment.resolve(HOST)
        if len(addresses) < INSTANCES:
            return 2
        start = time.monotonic()
        args = (record, addresses, start + TRAFFIC_S)
        clients = [threading.Thread(target=client, args=args) for _ in range(CLIENTS)]
        for thread in clients:
            thread.start()
        while (now := time.monotonic() - start) < TRAFFIC_S:
            for runner in runners[:FAULTY]:
                runner.faulty = now % EXTRA_EVERY_S < EXTRA_S
            time.sleep(0.1)
        for thread in clients:
            thread.join()
        time.sleep(1)
    finally:
        deployment.end()
    runs = collections.Counter(entry["id"] for entry in record.of("run"))
    twice = [id for id, count in runs.items() if count > 1]
    refused = [entry["id"] for entry in record.of("answered") if entry["status"] in (408, 421, 429, 503)]
    broken = [id for id in refused if runs[id]]
    good = sum(entry["status"] == 200 for entry in record.of("answered"))
    extras = collections.Counter(entry["answer"] for entry in record.of("extra"))
    record("result", sent=len(record.of("sent")), succeeded=good, rejected=len(record.of("rejected")),
           extra_answers=extras, run_more_than_once=len(twice), refused_and_run=len(broken), ids=twice + broken)
    print(f"{len(record.of('sent'))} requests, {good} succeeded, {len(record.of('rejected'))} rejections by runners, "
          f"{extras[503]} of them given twice; {len(twice)} requests ran more than once, {len(broken)} were answered as "
          f"not run and had run")
    if good == 0 or (TROUBLE and not record.of("extra")):
        return 2
    return 1 if twice or broken else 0


if __name__ == "__main__":
    run(main)
