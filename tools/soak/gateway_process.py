"""One run of a gateway's executable, with the disturbances that the soak caused."""

import asyncio
import contextlib
import os
import signal
import time

# A stopping gateway accepts connections until the load balancer has noticed two failed health checks.
STOP_SECONDS_WITHOUT_REQUESTS = 3.0
# Signals before this age may arrive before the program can handle them.
HANDLER_INSTALLATION_SECONDS = 0.5


class GatewayProcess:
    def __init__(self, name):
        self.name = name
        self.process = None
        self.started_at = time.monotonic()
        self.terminated_at = None
        self.killed_at = None
        self.exited_at = None
        self.frozen_at = None
        # Times of SIGCONT after SIGSTOP.
        self.wakes = []
        # Requests of clients of which at least one byte was sent, and which have no complete response yet.
        self.open_requests = 0
        self.last_request_ended_at = 0.0

    async def start(self, *command, log):
        self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        self.started_at = time.monotonic()
        self._exit_task = asyncio.create_task(self._watch_exit())

    async def _watch_exit(self):
        await self.process.wait()
        self.exited_at = time.monotonic()

    async def wait(self):
        await asyncio.shield(self._exit_task)

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        now = time.monotonic()
        if not self.is_running or (number == signal.SIGHUP and now < self.started_at + HANDLER_INSTALLATION_SECONDS):
            return
        if number == signal.SIGTERM and self.terminated_at is None:
            self.terminated_at = now
        elif number == signal.SIGKILL:
            self.killed_at = now
        elif number == signal.SIGSTOP:
            self.frozen_at = self.frozen_at or now
        elif number == signal.SIGCONT and self.frozen_at:
            self.frozen_at = None
            self.wakes.append(now)
        # The method of the process would reap a process that has just exited, and so hide its status from the watcher.
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    def was_frozen_since(self, moment):
        return self.frozen_at is not None or any(wake >= moment for wake in self.wakes)

    def request_began(self):
        self.open_requests += 1

    def request_ended(self):
        self.open_requests -= 1
        self.last_request_ended_at = time.monotonic()
