"""Reads from a gateway's log which requests it has read and which manifests it had in force."""

import json
import time


class GatewayLog:
    def __init__(self, path):
        self.arrived = set()
        # Pairs of the time on the monotonic clock and the manifest's version, in order of time.
        self.versions = []
        self.is_hub = False
        offset = time.time() - time.monotonic()
        for line in path.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            event = entry.get("event")
            if event == "request_arrived":
                self.arrived.add(entry.get("request"))
            elif event == "manifest_in_force":
                self.versions.append((entry["time_ms"] / 1000 - offset, entry["version"]))
            elif event == "hub_changed":
                self.is_hub = entry.get("is_self") == "yes"

    def versions_in_force(self, start, end):
        """Returns the versions that were in force at some time between the two times."""
        earlier = [version for moment, version in self.versions if moment <= start]
        return earlier[-1:] + [version for moment, version in self.versions if start < moment <= end]
