"""One worker loses answers for four seconds: is a lookup that comes again and again still served afterwards?"""

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

# The deployment studsbok: nine gateways in three zones, three workers of the booking service.
GATEWAY_ZONES = ["lulea-a"] * 4 + ["uppsala-a"] * 2 + ["malmo-a"] * 3
ADD_ROUTE_AT = 2.0
LOSS_AT, LOSS_SECONDS, LOSS_RATE = 8.0, 4.0, 0.4  # answer_lost (reset) at one worker of three
APPLY_SECONDS = 3.0  # bounds.configApplyMs
STABLE_SECONDS = 4.0  # bounds.stableWindowMs
END_AT = 60.0
POLLING_TENANT, POLLING_KEY, POLLING_CHANNELS, POLL_SECONDS = "hule930", "n2ctnfzs989anu6wsjnb", 4, 0.2
# The availability board of one tenant, on a route that is added while the system runs.
POLLED_TARGET = "/board/park-7"
POLLING_GATEWAY = "front-malmo-a-3"
OTHER_TENANTS = {f"other-{number}": f"key-of-tenant-{number}" for number in range(3)}
DEADLINE_MS = 3000


class LossyWorker(Worker):
    """Runs some requests and resets the channel in place of the answer."""

    loses = False

    async def _answer(self, request, writer):
        if self.loses and request.target != "/healthz" and request.header("redwingseam-target-instance", self.instance) == self.instance and random.random() < LOSS_RATE:
            self.on_run(self, request)
            await asyncio.sleep(self.work_seconds)
            self.on_lost(request)
            writer.transport.abort()
            return
        await super()._answer(request, writer)


class Tally:
    def __init__(self):
        self.asked = 0
        self.served = 0
        self.by_status = {}

    def count(self, status):
        self.asked += 1
        self.served += status == 200
        self.by_status[status] = self.by_status.get(status, 0) + 1

    def __str__(self):
        return f"{self.served} of {self.asked} served, by status of the last try: {self.by_status}"


async def run(record):
    deployment = Deployment(GATEWAY_ZONES)
    await deployment.store.start(deployment.ip(1))
    lost = []

    def on_run(worker, request):
        record.write(f"run      {request.header('redwingseam-attempt-id')} {request.target} at {worker.instance}")

    def on_lost(request):
        lost.append(request)
        record.write(f"lost     the answer to {request.header('redwingseam-attempt-id')} {request.target}")

    workers = []
    for number, zone in enumerate(["lulea-a", "uppsala-a", "malmo-a"]):
        worker = LossyWorker(f"i-desk-{number + 1}", "desk", zone, deployment.store, on_run, work_seconds=0.03)
        worker.on_lost = on_lost
        await worker.start(deployment.ip(100 + number))
        worker.register()
        workers.append(worker)
    tenants = [{"name": POLLING_TENANT, "apiKeys": [POLLING_KEY]}] + [{"name": name, "apiKeys": [key]} for name, key in OTHER_TENANTS.items()]
    services = [{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}]
    first_routes = [route("lookup", "/lookup/", "desk"), route("book", "/book/", "desk", kind="non_idempotent", attempts=1)]
    deployment.put_manifest(first_routes, services, tenants)
    if not await deployment.start_gateways():
        raise case.CannotRun("the gateways did not become ready")
    record.say("gateways are ready")
    stopping = asyncio.Event()
    tallies = {name: Tally() for name in [POLLING_TENANT, *OTHER_TENANTS]}
    # Requests in steady state, on the first routes and on the route that was added.
    steady = {"first": Tally(), "added": Tally()}
    numbers = iter(range(1, 1 << 30))
    loss_ended_at = float("inf")

    async def ask(client, method, target, key, body=b""):
        """Sends a request and, as clients do, repeats it once on a new channel if it was refused or an idempotent one failed."""
        for is_retry in (False, True):
            attempt = f"{next(numbers):016x}"
            record.write(f"sent     {attempt} {method} {target} to {client.address[0]}")
            answer = await client.request(method, HOST, target, attempt, key, DEADLINE_MS, body)
            record.write(f"answered {attempt} {answer.status}")
            is_refused = answer.status in (408, 421, 429, 503)
            if answer.status == 200 or is_retry or not (is_refused or method == "GET"):
                return answer.status
            client.close()
            await asyncio.sleep(min(float(answer.message.header("retry-after", "0")) if answer.message else 0.0, DEADLINE_MS / 3000))

    def count_steady(routes, at, status):
        if at > loss_ended_at + STABLE_SECONDS:
            steady[routes].count(status)

    async def poll(gateway):
        client = Client(gateway.front)
        while not stopping.is_set():
            at = record.seconds()
            status = await ask(client, "GET", POLLED_TARGET, POLLING_KEY)
            tallies[POLLING_TENANT].count(status)
            count_steady("added", at, status)
            await asyncio.sleep(POLL_SECONDS)
        client.close()

    async def use(gateway, name, key):
        client = Client(gateway.front)
        while not stopping.is_set():
            number = next(numbers)
            method, target, body = ("POST", f"/book/{number}", b"x" * 600) if random.random() < 0.5 else ("GET", f"/lookup/{number}", b"")
            at = record.seconds()
            status = await ask(client, method, target, key, body)
            tallies[name].count(status)
            count_steady("first", at, status)
            await asyncio.sleep(random.uniform(0.05, 0.35))
        client.close()

    tasks = []
    for number, gateway in enumerate(deployment.gateways):
        name = f"other-{number % 3}"
        tasks.append(asyncio.create_task(use(gateway, name, OTHER_TENANTS[name])))
    await asyncio.sleep(ADD_ROUTE_AT)
    deployment.put_manifest(first_routes + [route("board", "/board/", "desk")], services, tenants)
    record.say("the operator adds the route /board/")
    await asyncio.sleep(APPLY_SECONDS)
    # One client with some channels. The load balancer keeps it at one gateway.
    tasks += [asyncio.create_task(poll(deployment.gateway(POLLING_GATEWAY))) for _ in range(POLLING_CHANNELS)]
    await asyncio.sleep(LOSS_AT - ADD_ROUTE_AT - APPLY_SECONDS)
    if case.has_trouble():
        workers[2].loses = True
        record.say(f"{workers[2].instance} loses {LOSS_RATE:.0%} of its answers")
    await asyncio.sleep(LOSS_SECONDS)
    workers[2].loses = False
    loss_ended_at = record.seconds()
    record.say(f"no more answers are lost; lost so far: {len(lost)}, of {POLLED_TARGET}: {sum(request.target == POLLED_TARGET for request in lost)}")
    await asyncio.sleep(END_AT - LOSS_AT - LOSS_SECONDS)
    stopping.set()
    await asyncio.gather(*tasks)
    refusals = {}
    for gateway in deployment.gateways:
        client = Client(gateway.front)
        answer = await client.request("GET", HOST, POLLED_TARGET, f"{next(numbers):016x}", POLLING_KEY, DEADLINE_MS)
        refusals[gateway.name] = answer.status
        client.close()
    await deployment.stop()
    for name, tally in tallies.items():
        record.say(f"tenant {name}: {tally}")
    for name, tally in steady.items():
        record.say(f"in steady state on the {name} routes: {tally}")
    record.say(f"at the end {POLLED_TARGET} gets, by gateway: {refusals}")
    asked = sum(tally.asked for tally in tallies.values())
    served = sum(tally.served for tally in tallies.values())
    violations = []
    if steady["added"].asked >= 20 and steady["added"].served / steady["added"].asked < 0.25 * steady["first"].served / steady["first"].asked:
        violations.append(f"CONFIG: in steady state {steady['added']} on the route that was added later, {steady['first']} on the first routes")
    for name, tally in tallies.items():
        if tally.served / tally.asked < 0.25 * served / asked:
            violations.append(f"Starved: {tally.served / tally.asked:.1%} of the requests of tenant {name} were served, of all {served / asked:.1%}")
    return violations


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, run)
