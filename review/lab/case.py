"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import sys
import traceback

from record import Record

LIMIT_SECONDS = 115


class CannotRun(Exception):
    pass


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder, run):
    """`run(record)` returns the list of violations."""
    record = Record(folder)
    record.say("disruption: " + ("on" if has_trouble() else "off (TROUBLE=0)"))
    try:
        violations = asyncio.run(asyncio.wait_for(run(record), LIMIT_SECONDS))
    except Exception as error:
        traceback.print_exc()
        record.say(f"the case could not run: {error!r}")
        record.close()
        sys.exit(2)
    for violation in violations[:20]:
        record.say("BROKEN " + violation)
    record.say(f"{len(violations)} violations: the rule was broken" if violations else "the rule held")
    record.close()
    sys.exit(1 if violations else 0)
