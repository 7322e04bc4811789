"""
ONE: two edges act as the holder of the orders, since the store has dropped the record
in which the first of them claimed the lease.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed import MODEL, CannotRunError, run, until  # noqa: E402

#: Time for which the store keeps records, max_queue_s of the settings, in seconds.
KEEP = 30
#: Time after which a machine that has started is in touch (contact_ms), in seconds.
CONTACT = 3.0
#: Time between two versions that the trainer names, in seconds.
STEP = 4.0
#: When a machine joins, and for how long the trainer goes on, in seconds.
JOINS_AT, GOES_ON = KEEP + 12.0, 24.0
LLM = {
    "service": "pripovedovalec",
    "model": MODEL,
    "slots": 12,
    "events": {},
    "event_s": 0.1,
    "checks_fences": False,
}


def case(bed, trouble):
    engines = {f"i-llm{n}": dict(LLM) for n in range(4)}
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
    in_touch_from = time.monotonic() + CONTACT
    while time.monotonic() < in_touch_from + GOES_ON:
        version = name_next(bed, version)
    if len(bed.seen("order")) < version:
        raise CannotRunError("too few orders were given")
    return judge(bed, in_touch_from)


def name_next(bed, version):
    bed.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": version + 1})
    time.sleep(STEP)
    return version + 1


def judge(bed, in_touch_from):
    """
    "Orders to one engine are judged the same way as calls to the platform: [...] a
    lower fencing token following a higher one where engines don't check it."
    """
    highest, falls = {}, []
    orders = [line for line in bed.seen("order") if line["at"] >= in_touch_from]
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
        f"ONE: {len(falls)} of {len(orders)} orders came with a lower fencing token than"
        f" the same engine had seen; first at {line['by']}: {text(before)}, then"
        f" {text(line)} after {line['at'] - before['at']:.2f} s"
    )


def text(line):
    order = line["order"]
    return f"{order['fence_token']} of {order['holder']}"


run(case)
