"""Faults that overlap and come in series, drawn from a seed."""

import asyncio
import signal


class Faults:
    def __init__(self, world, random):
        self.world = world
        self.random = random
        self.kinds = [self.kill, self.term, self.term_in_series, self.freeze, self.store_reset, self.store_cut, self.store_one_way, self.store_slow, self.store_down, self.store_forgets,
                      self.peer_cut, self.peer_reset, self.crash, self.crash_zone, self.dark, self.drain, self.revoke, self.change, self.reload]

    async def run(self, seconds):
        running = []
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            kind = self.random.choice(self.kinds)
            self.world.say(f"fault {kind.__name__}")
            running.append(asyncio.create_task(kind()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*running)
        for gateway in self.world.gateways:
            gateway.store_proxy.calm()
            gateway.peer_proxy.calm()
            gateway.signal(signal.SIGCONT)

    def gateway(self):
        return self.random.choice(self.world.gateways)

    def upstream(self, service=None):
        return self.random.choice([upstream for upstream in self.world.upstreams if service in (None, upstream.service)])

    async def kill(self):
        gateway = self.gateway()
        gateway.signal(signal.SIGKILL)
        await asyncio.sleep(self.random.uniform(0, 1))

    async def term(self):
        await self.gateway().stop()

    async def term_in_series(self):
        for gateway in self.world.gateways[:3]:
            await gateway.stop()
            await asyncio.sleep(0.8)

    async def freeze(self):
        gateway = self.gateway()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 6))
        gateway.signal(signal.SIGCONT)

    async def _disturb(self, proxy, seconds, **changes):
        for name, value in changes.items():
            setattr(proxy, name, value)
        await asyncio.sleep(seconds)
        proxy.calm()

    async def store_reset(self):
        self.gateway().store_proxy.reset_all()

    async def store_cut(self):
        await self._disturb(self.gateway().store_proxy, self.random.uniform(1, 6), drops_there=True, drops_back=True)

    async def store_one_way(self):
        await self._disturb(self.gateway().store_proxy, self.random.uniform(1, 6), drops_back=True)

    async def store_slow(self):
        await self._disturb(self.gateway().store_proxy, self.random.uniform(1, 4), delay=self.random.uniform(0.05, 0.6))

    async def store_down(self):
        self.world.store.is_down = True
        await asyncio.sleep(self.random.uniform(0.5, 4))
        self.world.store.is_down = False

    async def store_forgets(self):
        self.world.store.forget()

    async def peer_cut(self):
        await self._disturb(self.gateway().peer_proxy, self.random.uniform(1, 5), drops_there=True, drops_back=True)

    async def peer_reset(self):
        self.gateway().peer_proxy.reset_all()

    async def crash(self):
        await self.upstream().crash(self.random.uniform(0.3, 2))

    async def crash_zone(self):
        zone = self.random.choice(self.world.zones)
        await asyncio.gather(*(upstream.crash(1.2) for upstream in self.world.upstreams if upstream.zone == zone and upstream.service == "engines"))

    async def dark(self):
        await self.upstream().go_dark(self.random.uniform(0.5, 2))

    async def drain(self):
        upstream = self.upstream()
        upstream.register("draining")
        await asyncio.sleep(1.5)
        upstream.unregister()
        await asyncio.sleep(0.5)
        upstream.register()

    async def revoke(self):
        self.world.revoke(self.random)

    async def change(self):
        self.world.change_manifest()

    async def reload(self):
        self.gateway().signal(signal.SIGHUP)
