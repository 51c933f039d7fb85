"""Checks that gateways answer what they have read, close connections only as announced, and stop in bounded time."""

import time

from gateway import TERMINATION_GRACE_SECONDS
from gateway_log import GatewayLog
from gateway_process import STOP_SECONDS_WITHOUT_REQUESTS

RESPONSE_TIMEOUT_SECONDS = 12
# Clients use connections that have been idle for up to this part of the idle timeout.
IDLE_PART = 0.8
# In the last sixth of the grace, running requests may be cut.
UNCUT_GRACE_SECONDS = TERMINATION_GRACE_SECONDS * 5 / 6
# A manifest that came into force shortly before may not apply to what is under way.
MANIFEST_SWITCH_SECONDS = 0.5
# A whole request whose connection is closed later than this was there to be read.
LOSS_SLACK_SECONDS = 0.2
STOP_SLACK_SECONDS = 1.5
OWN_CLIENT_ERRORS = {400, 403, 404, 405, 411, 413, 414, 431}


class ConnectionChecker:
    def __init__(self, history, manifest):
        self.history = history
        self.manifest = manifest
        self.exchanges = []
        self.idle_closes = []
        # How late the soak's own event loop has run a timer, at most.
        self.max_lag = 0.0
        self.logs = {}

    def record_idle_close(self, connection):
        now = time.monotonic()
        self.idle_closes.append((connection.process, now, now - connection.idle_since, connection.announced_idle_seconds))

    def finish(self, gateways):
        self.logs = {gateway.name: GatewayLog(gateway.folder / f"{gateway.name}.log") for gateway in gateways}
        for exchange in self.exchanges:
            if isinstance(exchange.status, int):
                self._check_refusal(exchange)
            elif exchange.status == "TimeoutError":
                self._check_silence(exchange)
            elif exchange.status == "closed":
                self._check_closed(exchange)
        for idle_close in self.idle_closes:
            self._check_idle_close(*idle_close)
        for gateway in gateways:
            for process in gateway.processes:
                self._check_exit(process)

    def _violate(self, guarantee, exchange, detail):
        sent = f"its last byte was sent {exchange.ended_at - exchange.sent_at:.3f} s before" if exchange.sent_at else f"its first byte was sent {exchange.ended_at - exchange.began_at:.3f} s before"
        order = ", pipelined" if exchange.was_pipelined else ", before a pipelined one" if exchange.has_follower else ""
        self.history.record_violation(guarantee, f"{exchange.attempt} ({exchange.kind}{order}) at {exchange.process.name}: {detail}; {sent}, after {exchange.idle_seconds:.3f} s idle; "
                                      f"closed at {self._clock(exchange.ended_at)}; {self._state(exchange.process, exchange.ended_at)}")

    @staticmethod
    def _clock(moment):
        """Returns the time as the gateways' logs write it."""
        return int((moment + time.time() - time.monotonic()) * 1000)

    @staticmethod
    def _state(process, moment):
        is_stopping = process.terminated_at is not None and moment >= process.terminated_at
        state = f"{moment - process.terminated_at:.3f} s after SIGTERM" if is_stopping else f"{moment - process.started_at:.3f} s after its start"
        earlier_wakes = [wake for wake in process.wakes if wake <= moment]
        return state + (f", {moment - earlier_wakes[-1]:.3f} s after SIGCONT" if earlier_wakes else "")

    def _limits(self, process, start, end):
        """Returns the client limits that were in force at the gateway at some time between the two times."""
        versions = self.logs[process.name].versions_in_force(start - MANIFEST_SWITCH_SECONDS, end)
        return [self.manifest.limits_by_version[version] for version in versions if version in self.manifest.limits_by_version]

    def _is_idle_allowed_to_end(self, process, moment, seconds, announced):
        if announced is not None and seconds >= announced:
            return True
        limits = self._limits(process, moment, moment)
        return not limits or seconds >= IDLE_PART * min(limit.idleTimeoutMs for limit in limits) / 1000

    @staticmethod
    def _was_ended(process, moment):
        """Returns whether the process was killed, or had used up the grace of its stop."""
        is_killed = process.killed_at is not None and moment >= process.killed_at
        return is_killed or (process.terminated_at is not None and moment >= process.terminated_at + UNCUT_GRACE_SECONDS)

    @staticmethod
    def _closes_idle_connections(process, moment):
        return process.terminated_at is not None and moment >= process.terminated_at + STOP_SECONDS_WITHOUT_REQUESTS - MANIFEST_SWITCH_SECONDS

    def _check_refusal(self, exchange):
        limits = self._limits(exchange.process, exchange.began_at, exchange.ended_at)
        is_large = exchange.status == 431 and limits and exchange.header_bytes >= min(limit.maxHeaderBytes for limit in limits)
        is_large |= exchange.status == 413 and bool(limits) and exchange.body_bytes >= min(limit.maxBodyBytes for limit in limits)
        is_missing = exchange.status == 404 and exchange.kind == "extra"
        is_unknown = exchange.status == 401 and exchange.key not in self.history.revoked
        if is_unknown or (exchange.status in OWN_CLIENT_ERRORS and not is_large and not is_missing):
            in_force = sorted({(limit.maxHeaderBytes, limit.maxBodyBytes) for limit in limits})
            self._violate("denied", exchange, f"status {exchange.status} for {exchange.header_bytes} bytes of headers and {exchange.body_bytes} of body, with limits {in_force} in force")

    def _check_silence(self, exchange):
        if not self._was_ended(exchange.process, exchange.ended_at) and not exchange.process.was_frozen_since(exchange.began_at):
            self._violate("unanswered", exchange, f"neither an answer nor a refusal within {RESPONSE_TIMEOUT_SECONDS} s")

    def _check_closed(self, exchange):
        process = exchange.process
        is_broken_off = exchange.attempt in self.history.broken_off
        if self._was_ended(process, exchange.ended_at) or (exchange.is_head_received and is_broken_off):
            return
        runs = self.history.runs.get(exchange.attempt)
        if exchange.is_head_received:
            self._violate("cut answer", exchange, f"the answer was cut, but its upstream {runs} had not broken off")
        elif runs or exchange.attempt in self.logs[process.name].arrived:
            self._violate("lost", exchange, f"closed without an answer after {'it ran at ' + str(runs) if runs else 'the gateway had read it'}")
        elif exchange.is_close_announced or (exchange.was_closed_before and self._closes_idle_connections(process, exchange.ended_at)):
            return
        elif exchange.sent_at is None:
            if not self._is_idle_allowed_to_end(process, exchange.ended_at, exchange.ended_at - exchange.began_at, None):
                is_crossing = exchange.ended_at <= exchange.began_at + LOSS_SLACK_SECONDS
                self._violate("crossed close" if is_crossing else "lost", exchange, "closed without announcement while the client sent the body")
        elif exchange.ended_at > exchange.sent_at + LOSS_SLACK_SECONDS:
            self._violate("lost", exchange, "closed without an answer")
        elif exchange.was_pipelined or not self._is_idle_allowed_to_end(process, exchange.ended_at, exchange.idle_seconds, exchange.announced_idle_seconds):
            self._violate("crossed close", exchange, "closed without announcement while the whole request was on its way")

    def _check_idle_close(self, process, closed_at, idle_seconds, announced):
        is_stopping = process.terminated_at is not None and closed_at >= process.terminated_at
        if is_stopping or self._was_ended(process, closed_at) or self._is_idle_allowed_to_end(process, closed_at, idle_seconds, announced):
            return
        if process.exited_at is None or closed_at < process.exited_at - 0.5:
            limits = [limit.idleTimeoutMs for limit in self._limits(process, closed_at, closed_at)]
            self.history.record_violation("idle close", f"{process.name} closed a connection after {idle_seconds:.3f} s idle at {self._clock(closed_at)}, with idle timeouts {limits} ms in force")

    def _check_exit(self, process):
        if process.exited_at is None or (process.killed_at and process.terminated_at is None):
            return
        if process.terminated_at is None or (process.process.returncode not in (0, -9) and process.terminated_at > process.started_at + 0.5):
            return self.history.record_violation("exit", f"{process.name} ended with status {process.process.returncode} {self._state(process, process.exited_at)}")
        idle_since = max(process.terminated_at + STOP_SECONDS_WITHOUT_REQUESTS, process.last_request_ended_at)
        took = process.exited_at - idle_since
        was_killed_early = process.killed_at and process.killed_at < process.terminated_at + TERMINATION_GRACE_SECONDS
        if took > STOP_SLACK_SECONDS + self.max_lag and not process.open_requests and not was_killed_early and not process.was_frozen_since(process.terminated_at):
            self.history.record_violation("stop", f"{process.name} exited {took:.3f} s after its last request, {self._state(process, process.exited_at)}, at {self._clock(process.exited_at)}")
