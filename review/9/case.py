"""A request crashes each worker that runs it. All gateways are killed once, some seconds after the third crash."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab-2"))
import lab  # noqa: E402

STABLE_WINDOW = 4.0
ALLOWED_RETRIES = 3
CRASHES = 3
# The worker is back after some seconds.
BACK_AFTER = 2.0
# The deadly request comes again this often, at any gateway.
COMES_AGAIN_AFTER = 6.0
# The gateways are killed this long after the deadly request came for the first time after its third crash.
KILL_AFTER_RETURN = 0.5
RESTART_DELAY = 1.0
LATEST_END = 80.0
DEADLY_BODY = b'{"slot":"deadly"}'


async def respond(worker, request, writer, headers):
    if request.body == DEADLY_BODY:
        worker.record.line("deadly-run", worker=worker.id, attempt=request.header("redwingseam-attempt-id"))
        worker.deadly_runs.append((time.monotonic(), request.header("redwingseam-attempt-id")))
        # The bookings that run there are lost with it.
        worker.lost += len(worker.running)
        worker.running.clear()
        asyncio.get_running_loop().create_task(worker.crash(BACK_AFTER))
        return
    attempt = request.header("redwingseam-attempt-id")
    worker.running.add(attempt)
    await asyncio.sleep(0.06)
    if attempt not in worker.running:
        return
    worker.running.discard(attempt)
    writer.write(lab.format_message("HTTP/1.1 200 OK", headers, b"booked " + attempt.encode()))
    await writer.drain()


async def case(record, folder, gateways):
    store = lab.Store()
    await store.start()
    store.put("config", "main", lab.manifest(
        [lab.route("book", "non_idempotent", "order-desk", 3, 2500, 400), lab.route("status", "idempotent", "order-desk", 3, 2500, 400)],
        [{"name": "order-desk", "maxConnections": 110}]))
    zones = ["rvk-a", "aku-a", "sel-a"]
    deadly_runs = []
    workers = []
    for zone in zones:
        worker = lab.Worker("desk-" + zone, "order-desk", zone, store, record, respond, slots=6)
        worker.deadly_runs = deadly_runs
        worker.running = set()
        worker.lost = 0
        await worker.start()
        workers.append(worker)
    for zone in zones:
        gateways.append(lab.Gateway("front-" + zone + "-1", zone, store, folder, record))
        await gateways[-1].start()
    if not await lab.wait_ready(gateways):
        return lab.COULD_NOT_RUN
    # Times at which a gateway was killed or started, which end its being in touch for the stable window.
    disturbed = {gateway.name: [] for gateway in gateways}
    sent = {}
    sound = []
    tasks = set()

    async def send(gateway, body):
        attempt = lab.new_attempt()
        sent[attempt] = (gateway.name, time.monotonic())
        record.line("sent", gateway=gateway.name, attempt=attempt, body="deadly" if body == DEADLY_BODY else "sound")
        answer = await lab.call(gateway.front, lab.request_bytes("POST", "/book/2f", attempt, 2500, body), 3)
        status = answer if isinstance(answer, str) else answer.status
        record.line("answered", attempt=attempt, status=status)
        if body != DEADLY_BODY:
            sound.append(status == 200)

    async def repeat(body, pause):
        while True:
            task = asyncio.create_task(send(random.choice(gateways), body))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(pause)

    loops = [asyncio.create_task(repeat(b'{"slot":"sound"}', 0.06))]
    await asyncio.sleep(5)
    loops.append(asyncio.create_task(repeat(DEADLY_BODY, COMES_AGAIN_AFTER)))
    while len(deadly_runs) < CRASHES and record.now() < 40:
        await asyncio.sleep(0.05)
    if len(deadly_runs) < CRASHES:
        return lab.COULD_NOT_RUN
    third = deadly_runs[CRASHES - 1][0]
    record.say("third crash")

    async def kill(gateway):
        disturbed[gateway.name].append(time.monotonic())
        await gateway.kill()
        await asyncio.sleep(RESTART_DELAY)
        await gateway.start()
        disturbed[gateway.name].append(time.monotonic())

    if lab.TROUBLE:
        await asyncio.sleep(third + COMES_AGAIN_AFTER + KILL_AFTER_RETURN - time.monotonic())
        record.say("all gateways are killed")
        await asyncio.gather(*(kill(gateway) for gateway in gateways))

    def late_retries():
        late = []
        for at, attempt in deadly_runs[CRASHES:]:
            name, sent_at = sent[attempt]
            is_in_touch = all(not (moment - 0.001 <= sent_at < moment + STABLE_WINDOW or sent_at <= moment <= at) for moment in disturbed[name])
            if is_in_touch and at > third + STABLE_WINDOW:
                late.append((round(at - third, 1), name))
        return late

    while record.now() < LATEST_END and not (lab.TROUBLE and len(late_retries()) > ALLOWED_RETRIES):
        await asyncio.sleep(0.2)
    for loop in loops:
        loop.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    late = late_retries()
    record.say(f"{len(deadly_runs)} runs in all; {len(late)} later than {STABLE_WINDOW} s after the third crash, by gateways in touch ({ALLOWED_RETRIES} allowed), seconds after it: {late}")
    record.say(f"sound bookings: {sum(sound)} of {len(sound)} were answered with success; {sum(worker.lost for worker in workers)} ran on a worker when the deadly request crashed it")
    return lab.BROKEN if len(late) > ALLOWED_RETRIES else lab.HELD


lab.run(case, pathlib.Path(__file__).resolve().parent)
