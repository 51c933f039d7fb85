"""Records since when two upstreams of a software version have been serving."""

import time


class ServingTimes:
    def __init__(self):
        self.serving = {}
        # Times by service and version, for those of which two or more serve.
        self.two_since = {}

    def note(self, upstream):
        origin = (upstream.service, upstream.version)
        names = self.serving.setdefault(origin, set())
        if upstream.serves:
            names.add(upstream.name)
        else:
            names.discard(upstream.name)
        if len(names) < 2:
            self.two_since.pop(origin, None)
        else:
            self.two_since.setdefault(origin, time.monotonic())

    def have_two_served_since(self, origin, moment):
        return origin in self.two_since and self.two_since[origin] <= moment
