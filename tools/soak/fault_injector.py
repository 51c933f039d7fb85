"""Injects overlapping faults and series of faults, chosen from a seeded random generator."""

import asyncio
import signal

from answer_faults import ANSWER_FAULTS
from out_of_step import OutOfStep
from release import Release

# In the scenario of software versions, times of many faults alternate with times in which the store and most gateways are left alone.
MIN_DENSE_SECONDS, MAX_DENSE_SECONDS = 2, 4
MIN_SPARSE_SECONDS, MAX_SPARSE_SECONDS = 6, 9
# Time before the first gateways are out of step, and from one group of them to the next.
LEAD_SECONDS = 1
MIN_STEP_SECONDS, MAX_STEP_SECONDS = 3, 7


class FaultInjector:
    def __init__(self, deployment, random):
        self.deployment = deployment
        self.random = random
        self.faults = [self.kill, self.terminate, self.rolling_terminate, self.freeze, self.store_reset, self.store_cut, self.store_one_way, self.store_slow, self.store_down, self.store_drops_history,
                       self.peer_cut, self.peer_reset, self.cut_off, self.crash_upstream, self.crash_zone, self.hang, self.drain_upstream, self.revoke_key, self.change_manifest, self.reload_settings,
                       self.manifest_series, self.manifest_series, self.repeated_signals, self.freeze_hub, self.answer_fault, self.answer_fault,
                       self.release, self.release, self.out_of_step, self.crash_under_same_id, self.kill_half, self.kill_all, self.store_silent, self.store_slow_for_all, self.store_loses_answers, self.store_restored]
        self.sparse_faults = [self.release, self.crash_upstream, self.crash_upstream, self.crash_under_same_id, self.hang, self.reload_settings]
        self.dense_faults = [self.kill, self.kill_half, self.kill_all, self.kill_all, self.terminate, self.terminate_series, self.repeated_signals, self.freeze, self.store_silent, self.store_slow_for_all,
                             self.store_down, self.store_loses_answers, self.store_restored, self.store_reset, self.peer_reset, self.release, self.release, self.crash_upstream, self.crash_under_same_id]
        self.faults_beside_steps = [self.kill, self.kill_half, self.terminate, self.repeated_signals, self.peer_reset, self.crash_upstream, self.crash_upstream, self.hang, self.reload_settings,
                                    self.change_manifest, self.release]
        self.running = []

    async def run(self, seconds):
        await self._inject(self.faults, seconds, 1.2)
        await self._end()

    async def run_versions(self, seconds):
        """Injects faults around releases, sparsely and densely by turns."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            self._begin(self.release)
            await self._inject(self.sparse_faults, min(self.random.uniform(MIN_SPARSE_SECONDS, MAX_SPARSE_SECONDS), deadline - loop.time()), 1.5)
            self._begin(self.random.choice([self.kill_half, self.kill_all]))
            await self._inject(self.dense_faults, min(self.random.uniform(MIN_DENSE_SECONDS, MAX_DENSE_SECONDS), deadline - loop.time()), 0.8)
        await self._end()

    async def run_out_of_step(self, seconds):
        """Releases versions while some gateways get no news, beside other faults."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        await asyncio.sleep(LEAD_SECONDS)
        while loop.time() < deadline:
            self._begin(self.out_of_step)
            await asyncio.sleep(self.random.uniform(0, 2))
            await self._inject(self.faults_beside_steps, min(self.random.uniform(MIN_STEP_SECONDS, MAX_STEP_SECONDS), deadline - loop.time()), 1.5)
        await self._end()

    async def _inject(self, faults, seconds, max_pause):
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            self._begin(self.random.choice(faults))
            await asyncio.sleep(self.random.uniform(0.1, max_pause))

    def _begin(self, fault):
        self.deployment.log(f"fault {fault.__name__}")
        self.running.append(asyncio.create_task(fault()))

    async def _end(self):
        await asyncio.gather(*self.running)
        self.deployment.end_faults()

    def choose_gateway(self):
        return self.random.choice(self.deployment.gateways)

    def choose_upstream(self, service=None):
        return self.random.choice([upstream for upstream in self.deployment.upstreams if service in (None, upstream.service)])

    async def kill(self):
        gateway = self.choose_gateway()
        gateway.signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0, 1))

    async def kill_half(self):
        gateways = self.deployment.gateways
        await self._kill(self.random.sample(gateways, (len(gateways) + 1) // 2))

    async def kill_all(self):
        await self._kill(self.deployment.gateways)

    async def _kill(self, gateways):
        for gateway in gateways:
            gateway.signal(signal.SIGKILL)

    async def terminate(self):
        await self.choose_gateway().stop()

    async def rolling_terminate(self):
        for gateway in self.deployment.gateways[:3]:
            await gateway.stop()
            await asyncio.sleep(0.8)

    async def terminate_series(self):
        """Stops half of the gateways, each shortly after the one before."""
        gateways = self.deployment.gateways
        stops = []
        for gateway in self.random.sample(gateways, (len(gateways) + 1) // 2):
            stops.append(asyncio.create_task(gateway.stop()))
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
        await asyncio.gather(*stops)

    async def freeze(self):
        gateway = self.choose_gateway()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 6))
        gateway.signal(signal.SIGCONT)

    async def _apply_to_proxy(self, proxy, seconds, **changes):
        with proxy.calm.disturbed():
            for name, value in changes.items():
                setattr(proxy, name, value)
            await asyncio.sleep(seconds)
            proxy.clear_faults()

    async def _apply_to_store(self, seconds, **changes):
        store = self.deployment.store
        with store.calm.disturbed():
            for name, value in changes.items():
                setattr(store, name, value)
            await asyncio.sleep(seconds)
            store.clear_faults()

    async def store_reset(self):
        self.choose_gateway().store_proxy.reset_all()

    async def store_cut(self):
        await self._apply_to_proxy(self.choose_gateway().store_proxy, self.random.uniform(1, 6), drops_to_target=True, drops_from_target=True)

    async def store_one_way(self):
        await self._apply_to_proxy(self.choose_gateway().store_proxy, self.random.uniform(1, 6), drops_from_target=True)

    async def store_slow(self):
        await self._apply_to_proxy(self.choose_gateway().store_proxy, self.random.uniform(1, 4), delay=self.random.uniform(0.05, 0.6))

    async def store_down(self):
        await self._apply_to_store(self.random.uniform(0.5, 4), is_down=True)

    async def store_silent(self):
        await self._apply_to_store(self.random.uniform(0.5, 4), is_silent=True)

    async def store_slow_for_all(self):
        await self._apply_to_store(self.random.uniform(0.5, 4), delay=self.random.uniform(0.05, 0.6))

    async def store_loses_answers(self):
        """Answers to writes get lost; a call may have been executed, or be executed later, or not at all."""
        await self._apply_to_store(self.random.uniform(1, 4), lost_answer_share=self.random.uniform(0.3, 1))

    async def store_restored(self):
        """The store goes down for a moment and comes back from a copy that is some seconds old."""
        stored_copy = self.deployment.store.take_copy()
        await asyncio.sleep(self.random.uniform(0.5, 4))
        with self.deployment.store.calm.disturbed():
            await self._apply_to_store(self.random.uniform(0.2, 1), is_down=True)
            await self.deployment.restore_store(stored_copy)

    async def store_drops_history(self):
        self.deployment.store.drop_history()

    async def peer_cut(self):
        await self._apply_to_proxy(self.choose_gateway().peer_proxy, self.random.uniform(1, 5), drops_to_target=True, drops_from_target=True)

    async def cut_off(self):
        await self.random.choice(self.deployment.separable_gateways()).cut_off(self.random.uniform(1, 5))

    async def peer_reset(self):
        self.choose_gateway().peer_proxy.reset_all()

    async def crash_upstream(self):
        await self.choose_upstream().crash(self.random.uniform(0.3, 2))

    async def crash_under_same_id(self):
        await self.choose_upstream().crash(self.random.uniform(0.3, 2), keeps_id=True)

    async def release(self):
        await Release(self.deployment, self.random).run()

    async def out_of_step(self):
        await OutOfStep(self.deployment, self.random).run()

    async def crash_zone(self):
        zone = self.random.choice(self.deployment.zones)
        await asyncio.gather(*(upstream.crash(1.2) for upstream in self.deployment.upstreams if upstream.zone == zone and upstream.service == "engines"))

    async def hang(self):
        await self.choose_upstream().hang(self.random.uniform(0.5, 2))

    async def drain_upstream(self):
        await self.choose_upstream().drain(1.5)

    async def revoke_key(self):
        self.deployment.revoke(self.random)

    async def change_manifest(self):
        self.deployment.change_manifest()

    async def reload_settings(self):
        self.choose_gateway().signal(signal.SIGHUP)

    async def manifest_series(self):
        """Changes the manifest several times in quick succession, with signals to gateways in between."""
        for _ in range(self.random.randint(3, 8)):
            self.deployment.change_manifest()
            await asyncio.sleep(self.random.uniform(0.02, 0.8))
            if self.random.random() < 0.3:
                self.choose_gateway().signal(self.random.choice([signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGKILL]))

    async def repeated_signals(self):
        """Sends one gateway a series of signals around its stop."""
        gateway = self.choose_gateway()
        stop = asyncio.create_task(gateway.stop())
        for _ in range(self.random.randint(1, 4)):
            await asyncio.sleep(self.random.uniform(0.05, 1))
            gateway.signal(self.random.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGSTOP]))
            await asyncio.sleep(self.random.uniform(0.05, 0.5))
            gateway.signal(signal.SIGCONT)
        await stop

    async def freeze_hub(self):
        gateway = self.deployment.hub()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(1, 5))
        gateway.signal(signal.SIGCONT)

    async def answer_fault(self):
        upstream = self.choose_upstream()
        upstream.set_answer_fault(self.random.choice(ANSWER_FAULTS))
        self.deployment.log(f"{upstream.name} {upstream.answer_fault.__name__}")
        await asyncio.sleep(self.random.uniform(0.2, 2))
        upstream.set_answer_fault(None)
