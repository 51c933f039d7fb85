"""The gateway that reads the store loses it for a moment: do the others still drop a worker that has left in time?"""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab"))

import case
from client import Client
from deployment import HOST, Deployment, route
from worker import Worker

# The deployment studsbok: nine gateways in three zones.
GATEWAY_ZONES = ["lulea-a"] * 4 + ["uppsala-a"] * 2 + ["malmo-a"] * 3
DRAIN_SECONDS = 3.0  # bounds.drainMs
STABLE_SECONDS = 4.0  # bounds.stableWindowMs
CUT_SECONDS = (1.7, 2.7)  # core_cut (refuse): one machine, the dose of the site is 5.5 s
FIRST_CUT_AT, CYCLE_SECONDS, CYCLES = 8.0, 4.0, 24
# Planned work: workers are replaced one after the other (release). They never report draining; their entry is removed, and
# they serve for drainMs and a little longer.
WORKERS, REPLACE_SECONDS, SERVE_SECONDS = 6, 0.5, 6.0
KEY = "n2ctnfzs989anu6wsjnb"


async def run(record):
    deployment = Deployment(GATEWAY_ZONES)
    store = deployment.store
    await store.start(deployment.ip(1))
    removed = {}  # time of the ack by worker
    runs = []
    started = 0
    live = []

    def on_run(worker, request):
        runs.append((time.monotonic(), worker.instance, request.header("redwingseam-attempt-id")))

    async def start_worker():
        nonlocal started
        started += 1
        worker = Worker(f"i-desk-{started:03}", "desk", ["lulea-a", "uppsala-a", "malmo-a"][started % 3], store, on_run, work_seconds=0.002)
        await worker.start(deployment.ip(100 + started % 100))
        worker.register()
        live.append(worker)

    for _ in range(WORKERS):
        await start_worker()
    deployment.put_manifest([route("lookup", "/lookup/", "desk")], [{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}],
                            [{"name": "hule930", "apiKeys": [KEY]}])
    if not await deployment.start_gateways():
        raise case.CannotRun("the gateways did not become ready")
    record.say("gateways are ready")
    reads = {name: proxy.bytes_to_target for name, proxy in deployment.store_proxies.items()}
    await asyncio.sleep(3)
    reads = {name: proxy.bytes_to_target - reads[name] for name, proxy in deployment.store_proxies.items()}
    reader = max(reads, key=reads.get)
    record.say(f"the store gets its calls from {reader}, bytes by gateway: {reads}")
    stopping = asyncio.Event()
    sent = {}
    by_status = {}
    numbers = iter(range(1, 1 << 30))

    async def use(gateway):
        client = Client(gateway.front)
        while not stopping.is_set():
            attempt = f"{next(numbers):016x}"
            sent[attempt] = (time.monotonic(), gateway.name)
            answer = await client.request("GET", HOST, f"/lookup/{attempt}", attempt, KEY, 3000)
            by_status[answer.status] = by_status.get(answer.status, 0) + 1
            await asyncio.sleep(0.04)
        client.close()

    async def replace_workers():
        while not stopping.is_set():
            await asyncio.sleep(REPLACE_SECONDS)
            await start_worker()
            worker = live.pop(0)
            removed[worker.instance] = worker.unregister()
            record.write(f"{worker.instance} is removed from the store, acknowledged; it serves for {SERVE_SECONDS} s more")
            asyncio.get_running_loop().call_later(SERVE_SECONDS, worker.stop)

    tasks = [asyncio.create_task(use(gateway)) for gateway in deployment.gateways for _ in range(2)] + [asyncio.create_task(replace_workers())]
    await asyncio.sleep(FIRST_CUT_AT - 3)
    proxy = deployment.store_proxies[reader]
    cuts = []
    for _ in range(CYCLES):
        cut_at = time.monotonic()
        seconds = random.uniform(*CUT_SECONDS)
        if case.has_trouble():
            proxy.refuses = True
            proxy.reset_all()
            record.write(f"{reader} is cut off from the store for {seconds:.2f} s")
        await asyncio.sleep(seconds)
        if case.has_trouble():
            proxy.heal()
            record.write(f"{reader} reaches the store again")
            cuts.append((cut_at, time.monotonic()))
        await asyncio.sleep(max(0.0, cut_at + CYCLE_SECONDS - time.monotonic()))
    stopping.set()
    await asyncio.gather(*tasks)
    await deployment.stop()

    def is_out_of_touch(name, at):
        return name == reader and any(begin <= at <= end + STABLE_SECONDS for begin, end in cuts)

    violations = []
    latest = {}
    for at, instance, attempt in runs:
        sent_at, name = sent[attempt]
        record.write(f"sent     {attempt} to {name}, run by {instance} at {record.seconds(at):.3f}", sent_at)
        if instance not in removed or is_out_of_touch(name, sent_at):
            continue
        age = at - removed[instance]
        latest[name] = max(age, latest.get(name, age))
        if age > DRAIN_SECONDS:
            violations.append(f"DRAIN: request {attempt}, sent to {name}, reached {instance} {age:.3f} s after the store had acknowledged that it was gone")
    record.say(f"answers by status: {by_status}; cuts: {len(cuts)}")
    record.say("latest use of a worker after the ack, in s: " + ", ".join(f"{name} {age:.2f}" for name, age in sorted(latest.items())))
    return violations


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, run)
