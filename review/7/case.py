"""A client states absurd numbers of tokens in two requests that wait for room, and leaves. The gateway crashes."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lab-2"))
import lab  # noqa: E402

ENDS = 3
MACHINES = 2
RESTART_DELAY = 1.0
EVENTS = 400
ORDINARY_USAGE = "8000,650"
# 2 to the power of 63: the two together are 0 in 64 bits.
ABSURD_USAGE = "9223372036854775808,0" if lab.TROUBLE else ORDINARY_USAGE
# A third of an engine's memory: three ordinary streams fill it.
ENGINE = {"slots": 64, "kvCapacityTokens": 27000, "handleS": 4.0}
STREAMS_PER_WORKER = 3


async def respond(worker, request, writer, headers):
    worker.record.line("run", worker=worker.id, attempt=request.header("redwingseam-attempt-id"))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(int(request.header("last-event-id", "0")) + 1, EVENTS + 1):
        event = f"id: {number}\ndata: token\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.03)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


class Stream:
    """A client's request on a channel of its own."""

    def __init__(self, gateway, record, usage):
        self.gateway, self.record, self.usage = gateway, record, usage
        self.attempt = lab.new_attempt()
        self.status = None

    async def send(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.gateway.front)
        prefix = f"5c1e07a2:200,{self.attempt[:8]}:7800"
        self.writer.write(lab.request_bytes("POST", "/draft/2f", self.attempt, 25000, b"dossier", Redwingseam_Model="m", Redwingseam_Token_Usage=self.usage, Redwingseam_Prompt_Prefix=prefix))
        self.record.line("sent", gateway=self.gateway.name, attempt=self.attempt, tokens=self.usage)
        self.task = asyncio.create_task(self.read())
        return self

    async def read(self):
        try:
            self.status = (await self.reader.readline()).decode().strip() or "closed without an answer"
            while await self.reader.read(65536):
                pass
        except ConnectionError:
            self.status = self.status or "reset without an answer"
        self.record.line("answered", attempt=self.attempt, status=self.status)

    def leave(self):
        self.task.cancel()
        self.writer.close()
        self.record.line("left", attempt=self.attempt)


async def one_round(gateway, record):
    """Returns whether the process ended by itself, and the status lines of the ordinary streams."""
    ordinary = []
    for _ in range(len(ZONES) * STREAMS_PER_WORKER):
        ordinary.append(await Stream(gateway, record, ORDINARY_USAGE).send())
        await asyncio.sleep(0.1)
    await asyncio.sleep(0.5)
    first = await Stream(gateway, record, ABSURD_USAGE).send()
    second = await Stream(gateway, record, ABSURD_USAGE).send()
    third = await Stream(gateway, record, ORDINARY_USAGE).send()
    await asyncio.sleep(0.3)
    # Clients leave before their time budget.
    third.leave()
    await asyncio.sleep(0.3)
    first.leave()
    await asyncio.sleep(0.3)
    second.leave()
    await asyncio.sleep(0.7)
    has_ended = not gateway.is_running
    answers = [stream.status for stream in ordinary]
    for stream in ordinary:
        stream.leave()
    return has_ended, answers


ZONES = ["rvk-a", "aku-a", "sel-a"]


async def case(record, folder, gateways):
    store = lab.Store()
    await store.start()
    store.put("config", "main", lab.manifest([lab.route("draft", "streaming", "plan-drafter", 5, 25000, 4000, streamResume=True, targetGapMs=700, sessionAffinity=True)], [{"name": "plan-drafter", "maxConnections": 370, "engine": ENGINE}]))
    for zone in ZONES:
        await lab.Worker("drafter-" + zone, "plan-drafter", zone, store, record, respond).start()
    for zone in ZONES:
        gateways.append(lab.Gateway("front-" + zone + "-1", zone, store, folder, record))
        await gateways[-1].start()
    if not await lab.wait_ready(gateways):
        return lab.COULD_NOT_RUN
    ends = {gateway.name: 0 for gateway in gateways}
    for gateway in gateways[:MACHINES]:
        for _ in range(ENDS):
            has_ended, answers = await one_round(gateway, record)
            if has_ended:
                ends[gateway.name] += 1
                record.say(f"{gateway.name} has ended by itself with {gateway.process.returncode}; ordinary streams that it was serving: {len([status for status in answers if status and '200' in status])}")
                await asyncio.sleep(RESTART_DELAY)
                await gateway.start()
                if not await lab.wait_ready([gateway]):
                    return lab.COULD_NOT_RUN
            else:
                record.say(f"{gateway.name} still runs; answers to its ordinary streams so far: {answers}")
            await asyncio.sleep(1)
    record.say(f"processes that ended by themselves: {ends}")
    return lab.BROKEN if sum(count >= ENDS for count in ends.values()) >= MACHINES else lab.HELD


lab.run(case, pathlib.Path(__file__).resolve().parent)
