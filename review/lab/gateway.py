"""A redwingseam-gateway process, started as the deploy file says, on a loopback address of its own."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
RUN = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]["run"].split(" ")

# The example of DEPLOY.md, with the bounds of the small deployments.
BOUNDS = {
    "bounds.seedLagS": "3", "bounds.reuseAfterS": "2", "bounds.stableWindowMs": "4000", "bounds.ackMs": "5000", "bounds.catchUpS": "4",
    "bounds.drainMs": "3000", "bounds.graceS": "8", "bounds.lossSlackMs": "200", "bounds.configApplyMs": "3000", "bounds.rollbackSlackMs": "250",
    "bounds.outerMs": "6000", "bounds.strictRevoke": "true", "bounds.revokeMs": "5000", "bounds.budgetRatio": "0.8", "bounds.budgetWindowS": "10",
    "bounds.retrySlack": "150", "bounds.recoveryS": "12", "bounds.passMs": "400", "bounds.reuseWindowS": "6.4",
}


def free_ports(ips, count):
    """Returns ports that are free on all the addresses, as ports are the same on all machines."""
    ports = []
    for port in range(23000 + os.getpid() % 4000, 32000):
        if len(ports) == count:
            return ports
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    stack.enter_context(socket.socket()).bind((ip, port))
            except OSError:
                continue
            ports.append(port)
    raise RuntimeError("no free ports")


class Gateway:
    def __init__(self, name, zone, region, ip, ports, folder, store_address, zones):
        self.name, self.zone, self.ip = name, zone, ip
        self.front, self.ready = (ip, ports[0]), (ip, ports[1])
        self.settings = pathlib.Path(folder) / f"{name}.conf"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process = None
        lines = {
            "nodeName": name, "role": "gateway", "machineClass": "front", "serves": "front", "ip": ip, "zone": zone, "region": region,
            **{f"zones.{zone_name}": zone_region for zone_name, zone_region in zones.items()},
            "listen.front": f"{ip}:{ports[0]}", "listen.ready": f"{ip}:{ports[1]}", "portRange": f"{ports[2]},{ports[2] + 15}", "seeds": "",
            "bootstrap": "true", "countsAsLoss": "false", "limits.cpuShare": "0.25", "limits.cores": "1", "limits.memoryMb": "260", "limits.maxFds": "4100",
            "limits.linkMbps": "1000.0", "limits.diskMb": "0", "discovery": "platform", "entry": "vip", "heartbeatMs": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform", "tolerate.machines": "2", "tolerate.zones": "0", "tolerate.regions": "0",
            **BOUNDS,
            "platform.address": store_address, "platform.form": "objects", "platform.writesPerS": "400", "platform.readsPerS": "2000", "platform.historyS": "20",
            "platform.valueBytes": "1048576", "platform.ttlMinMs": "1000",
        }
        self.settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["REDWINGSEAM_BOOT"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*RUN, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def kill(self):
        if self.is_running:
            self.signal(signal.SIGKILL)
            self.signal(signal.SIGCONT)
        if self.process:
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(f"GET /api/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


async def wait_until_ready(gateways, seconds):
    for _ in range(int(seconds * 10)):
        if all(await asyncio.gather(*(gateway.is_ready() for gateway in gateways))):
            return True
        await asyncio.sleep(0.1)
    return False
