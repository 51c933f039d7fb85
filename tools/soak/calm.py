"""Tells for how long nothing has disturbed a part of the deployment."""

import contextlib
import time


class Calm:
    def __init__(self):
        self.disturbances = 0
        self.disturbed_at = time.monotonic()

    @contextlib.contextmanager
    def disturbed(self):
        self.disturbances += 1
        try:
            yield
        finally:
            self.disturbances -= 1
            self.note()

    def note(self):
        """Records a disturbance that lasts for a moment only."""
        self.disturbed_at = time.monotonic()

    def holds_since(self, moment):
        return not self.disturbances and self.disturbed_at <= moment
