"""
ONE: two edges act as the holder of the orders, since the store has dropped the record
in which the first of them claimed the lease.
"""

import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed import MODEL, CannotRunError, run, until


#: Time for which the store keeps records, max_queue_s of the settings, in seconds.
KEEP = 30
#: Time between two versions that the trainer names, in seconds.
STEP = 3.0
#: When a machine joins, and for how long the trainer goes on, in seconds.
JOINS_AT, GOES_ON = KEEP + 10.0, 36.0
LLM = {
    "service": "pripovedovalec",
    "model": MODEL,
    "slots": 12,
    "events": {},
    "event_s": 0.1,
    "checks_fences": False,
}


def case(bed, trouble):
    engines = {f"i-llm{n}": dict(LLM) for n in range(6)}
    engines["i-app0"] = {"service": "rezervacije", "slots": 6}
    store = {"keep_s": KEEP} if trouble else {}
    bed.open(2, engines, KEEP, fenced=False, store=store)
    began = time.monotonic()
    version = 1
    while time.monotonic() < began + JOINS_AT:
        version = name_next(bed, version)
    # One machine more, as the platform adds it.
    bed.start_edge("edge-2", "bled-hall")
    bed.note("machine_added", edge="edge-2")
    until(lambda: bed.is_ready("edge-2"), 15, "edge-2 is ready")
    joined_at = time.monotonic()
    while time.monotonic() < joined_at + GOES_ON:
        version = name_next(bed, version)
    if len(bed.seen("order")) < version:
        raise CannotRunError("too few orders were given")
    return judge(bed)


def name_next(bed, version):
    bed.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version + 1})
    time.sleep(STEP)
    return version + 1


def judge(bed):
    """
    "Orders to one engine are judged the same way as calls to the platform: [...] a
    lower fencing token following a higher one where engines don't check it. [...] If
    engines check fences, only turns among holders in touch count; otherwise this
    applies to all machines."
    """
    highest, falls = {}, []
    orders = bed.seen("order")
    for line in orders:
        engine, fence = line["by"], line["order"]["fence_token"]
        before = highest.setdefault(engine, line)
        if fence < before["order"]["fence_token"]:
            falls.append((before, line))
        else:
            highest[engine] = line
    holders = sorted({line["order"]["holder"] for line in orders})
    bed.note("judged", orders=len(orders), holders=holders, falls=len(falls))
    if not falls:
        return ""
    before, line = falls[0]
    return (
        f"ONE: {len(falls)} of {len(orders)} orders came with a lower fencing token"
        f" than the same engine had seen; first at {line['by']}: {text(before)}, then"
        f" {text(line)} after {line['at'] - before['at']:.2f} s"
    )


def text(line):
    order = line["order"]
    return f"{order['fence_token']} of {order['holder']}"


run(case)
