"""Checks that streams go on at the software version that began them, without a gap, and about as often as new ones begin."""

ALLOWED_MIXED_STREAMS = 0
MIN_TAKE_UPS = 12
# Tries count at gateways that nothing has disturbed for this long.
STABLE_WINDOW_SECONDS = 4


class StreamChecker:
    def __init__(self, history):
        self.history = history
        self.records = []
        # Whether each new stream began, and each stream that its client took up went on.
        self.begun = []
        self.went_on = []
        # Whether each stream went on that its client took up at a gateway without news.
        self.out_of_step = []

    def add(self, record):
        record.is_counted = True
        self.records.append(record)

    def record_try(self, exchange, record, is_take_up, succeeded):
        """Records what came of a try at an undisturbed gateway."""
        if not record.is_counted or exchange.key in self.history.revoked:
            return
        if not is_take_up:
            self.begun.append(succeeded)
        elif self.history.serving.have_two_served_since(record.first_origin, exchange.began_at):
            self.went_on.append((succeeded, exchange.attempt))

    def finish(self):
        mixed = self.mixed_streams()
        if len(mixed) > ALLOWED_MIXED_STREAMS:
            self.history.record_violation("order", f"{len(mixed)} streams hold events from two software versions; {'; '.join(self._describe(record) for record in mixed[:5])}")
        for record in self.records:
            for attempt, last, number in record.breaks:
                self.history.record_violation("event ids", f"{attempt}: event {number} follows event {last} of the stream that began as {record.first_attempt}")
        successes = sum(succeeded for succeeded, _ in self.went_on)
        if len(self.went_on) >= MIN_TAKE_UPS and self.begun and successes / len(self.went_on) < sum(self.begun) / len(self.begun) / 2:
            self.history.record_violation("lost", f"{successes} of {len(self.went_on)} streams that clients took up went on, {sum(self.begun)} of {len(self.begun)} new ones began")

    def mixed_streams(self):
        return [record for record in self.records if len(record.versions()) > 1]

    def joined_within_an_answer(self):
        return [record for record in self.mixed_streams() if len(set(record.origins)) > len({attempt for _, attempt in record.origins})]

    @staticmethod
    def _describe(record):
        """Returns where each part of the stream came from."""
        parts = []
        for number, ((_, version), attempt) in enumerate(record.origins, 1):
            if not parts or parts[-1][1:] != (version, attempt):
                parts.append((number, version, attempt))
        return ", ".join(f"from event {number} {version} in {attempt}" for number, version, attempt in parts)

    def counts(self):
        resumed = [record for record in self.records if len({attempt for _, attempt in record.origins}) > 1]
        failed = " ".join(attempt for succeeded, attempt in self.went_on if not succeeded)
        return (f"{len(self.records)} streams, {len(resumed)} over several tries, {len(self.mixed_streams())} of two software versions ({ALLOWED_MIXED_STREAMS} allowed), {len(self.joined_within_an_answer())} of these within an answer; "
                f"undisturbed: {sum(succeeded for succeeded, _ in self.went_on)} of {len(self.went_on)} taken up went on{f' (not {failed})' if failed else ''}, {sum(self.begun)} of {len(self.begun)} began; "
                f"out of step: {sum(self.out_of_step)} of {len(self.out_of_step)} taken up went on")
