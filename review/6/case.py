"""The operator takes the last key away: the newest manifest's `tenants` is an empty list."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab-2"))
import lab  # noqa: E402

REVOKE_SECONDS = 5.0
# Requests are sent for this long after the bound.
LATE_SECONDS = 6.0


async def respond(worker, request, writer, headers):
    worker.record.line("run", worker=worker.id, attempt=request.header("redwingseam-attempt-id"), tenant=request.header("redwingseam-tenant", "(none)"))
    await asyncio.sleep(0.02)
    writer.write(lab.format_message("HTTP/1.1 200 OK", headers, b"ok"))
    await writer.drain()


async def case(record, folder, gateways):
    store = lab.Store()
    await store.start()
    routes = [lab.route("book", "non_idempotent", "order-desk", 3, 2500, 400), lab.route("status", "idempotent", "order-desk", 3, 2500, 400)]
    services = [{"name": "order-desk", "maxConnections": 110}]

    def publish(version, tenants):
        store.put("config", "main", lab.manifest(routes, services, version, tenants))
        record.line("manifest-acknowledged", version=version, tenants=tenants)

    publish(7, [("tenant-a", ["key-a"])])
    zones = ["rvk-a", "aku-a", "sel-a"]
    workers = []
    for zone in zones:
        workers.append(lab.Worker("desk-" + zone, "order-desk", zone, store, record, respond, slots=6))
        await workers[-1].start()
    for zone in zones:
        gateways.append(lab.Gateway("front-" + zone + "-1", zone, store, folder, record))
        await gateways[-1].start()
    if not await lab.wait_ready(gateways):
        return lab.COULD_NOT_RUN
    sent = {}

    async def send(gateway, key):
        attempt = lab.new_attempt()
        sent[attempt] = (time.monotonic(), gateway.name, key)
        record.line("sent", gateway=gateway.name, attempt=attempt, key=key)
        answer = await lab.call(gateway.front, lab.request_bytes("POST", "/book/2f", attempt, 2500, b"{}", Redwingseam_Key=key), 3)
        record.line("answered", attempt=attempt, status=answer if isinstance(answer, str) else answer.status)
        return answer if isinstance(answer, str) else answer.status

    calm = [await send(gateway, "key-a") for gateway in gateways] + [await send(gateway, "key-never-held") for gateway in gateways]
    if calm != [200] * 3 + [401] * 3:
        record.say(f"not served in calm: {calm}")
        return lab.COULD_NOT_RUN
    if lab.TROUBLE:
        publish(9, [])
    acknowledged_at = time.monotonic()
    while time.monotonic() < acknowledged_at + REVOKE_SECONDS + LATE_SECONDS:
        for gateway in gateways:
            await send(gateway, "key-a")
            await send(gateway, "key-never-held")
        await asyncio.sleep(0.3)
    runs = [sent[attempt] for worker in workers for _, attempt in worker.runs]
    late = [name for at, name, key in runs if key == "key-a" and at > acknowledged_at + REVOKE_SECONDS] if lab.TROUBLE else []
    foreign = [name for _, name, key in runs if key == "key-never-held"]
    record.say(f"{len(runs)} requests ran; {len(late)} with the key that was taken away, sent later than {REVOKE_SECONDS} s after the ack; {len(foreign)} with a key that no manifest ever held")
    return lab.BROKEN if late or foreign else lab.HELD


lab.run(case, pathlib.Path(__file__).resolve().parent)
