"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import signal
import sys
import traceback

from deployment import Deployment
from record import Record

# A case takes 120 s at most.
LIMIT_SECONDS = 115


class CannotRun(Exception):
    pass


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


async def run_and_clean_up(run, record):
    """Ends all processes that the case started, also if it fails, takes too long or is told to stop."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(run(record), LIMIT_SECONDS)
    finally:
        for deployment in Deployment.started:
            await deployment.stop()


def main(folder, run):
    """`run(record)` returns the list of violations."""
    record = Record(folder)
    record.say("disruption: " + ("on" if has_trouble() else "off (TROUBLE=0)"))
    try:
        violations = asyncio.run(run_and_clean_up(run, record))
    except (Exception, asyncio.CancelledError) as error:
        traceback.print_exc()
        record.say(f"the case could not run: {error!r}")
        record.close()
        sys.exit(2)
    for violation in violations[:20]:
        record.say("BROKEN " + violation)
    record.say(f"{len(violations)} violations: the rule was broken" if violations else "the rule held")
    record.close()
    sys.exit(1 if violations else 0)
