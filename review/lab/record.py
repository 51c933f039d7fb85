"""The record of a run: what was sent, answered and run, with seconds since the start."""

import pathlib
import time


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def seconds(self, moment=None):
        return (time.monotonic() if moment is None else moment) - self.started_at

    def write(self, text, moment=None):
        self.file.write(f"{self.seconds(moment):8.3f} {text}\n")

    def say(self, text):
        """Writes a line to the record and to standard output."""
        self.write(text)
        print(f"{self.seconds():8.3f} {text}", flush=True)

    def close(self):
        self.file.close()
