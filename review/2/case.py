"""
MIXED: a result carries the score of an earlier reward call.

A group that was not whole comes again in a later batch job under the same ids. The
engine of the reward calls gives a second, late answer to the first job's call, at the
place where the answer to the second job's call should come.
"""

import base64
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed import HOST, MODEL, CannotRunError, run, until


#: The trainer gives a step up after this time, in seconds.
DEADLINE = 12.0
SHORT, LONG = b"short", b"long"
GROUP = {"aa5e01c3d2f40917": SHORT, "bb5e01c3d2f40918": LONG}
SCORE_ID = "5c0a01c3d2f40917"


def item(item_id, body):
    return {
        "id": item_id,
        "path": "/pule252/3/91c4",
        "headers": {
            "Saddledoor-Model-Name": MODEL,
            "Saddledoor-Token-Count": "16,400",
            "Saddledoor-Prompt-Prefix": f"9c2e41:10,{item_id[:6]}:6",
        },
        "body": base64.b64encode(body).decode(),
        "tokens": 416,
        "group_size": "g1002a",
        "scorer": {
            "id": SCORE_ID if body == SHORT else "5c0a01c3d2f40918",
            "host": HOST,
            "path": "/pufi791/5e07",
            "body": base64.b64encode(b"text to score").decode(),
        },
    }


def job(step):
    return {
        "step": step,
        "model": MODEL,
        "min_version": max(1, step - 1),
        "desired": 1,
        "requests": [item(item_id, body) for item_id, body in GROUP.items()],
    }


def guests(bed, count, edge):
    """
    Look slots up, one guest after the other.
    """
    for number in range(count):
        name = f"{edge[-1]}{time.monotonic_ns():015x}"
        status, _, _ = bed.ask(
            edge,
            "POST",
            "/pufi791/2f",
            b"slot?",
            name,
            Saddledoor_Deadline_Ms="1500",
        )
        if status != 200:
            raise CannotRunError(f"a guest's request {number} was answered {status}")


def case(bed, trouble):
    engines = {
        f"i-llm{n}": {
            "service": "pripovedovalec",
            "model": MODEL,
            "slots": 12,
            "events": {SHORT.decode(): 4, LONG.decode(): 140},
            "event_s": 0.1,
        }
        for n in range(2)
    }
    for n in range(2):
        engines[f"i-app{n}"] = {
            "service": "rezervacije",
            "slots": 6,
            "extra_late": 1 if trouble else 0,
            "extra_for": SCORE_ID,
        }
    bed.open(2, engines)
    for edge in bed.fronts:
        guests(bed, 25, edge)
    short_id = next(iter(GROUP))

    def listed(job_id):
        results = bed.results("edge-1", job_id)
        return next((r for r in results if r["id"] == short_id), None)

    # Step 1: the short item is whole, the long one is not, at the trainer's deadline.
    first_job, second_job = "7c41e09b52d6a3f1", "7c41e09b52d6a3f2"
    began = time.monotonic()
    bed.submit("edge-0", first_job, job(1))
    first = until(lambda: listed(first_job), 8, "the short item of the first job")
    bed.note("result", job=first_job, result=first)
    time.sleep(max(0.0, began + DEADLINE - time.monotonic()))
    if len(bed.results("edge-1", first_job)) != 1:
        raise CannotRunError("the group is whole")
    bed.ask("edge-0", "DELETE", f"/v1/lots/{first_job}")
    # The trainer trains and names the next version.
    time.sleep(0.5)
    bed.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
    time.sleep(0.1)
    # Step 2: the group comes again under the same ids.
    resent_at = time.monotonic()
    bed.submit("edge-0", second_job, job(2))
    second = until(lambda: listed(second_job), 8, "the short item of the second job")
    bed.note("result", job=second_job, result=second)
    for edge in bed.fronts:
        guests(bed, 25, edge)
    bed.ask("edge-0", "DELETE", f"/v1/lots/{second_job}")
    return judge(bed, resent_at, short_id, second)


def judge(bed, resent_at, short_id, result):
    """
    "The score isn't the signature of a 2xx to that item's reward call, or that call
    reached its engine before the last event of the text was made."
    """
    if result["state"] != "completed":
        return ""
    signed = [a for a in bed.seen("answered") if a["seal"] == result["score"]]
    if not signed or signed[0]["id"] != SCORE_ID:
        return "MIXED: the score is no signature of the item's reward call"
    (call,) = [r for r in bed.seen("run") if r["run"] == signed[0]["run"]]
    events = [e for e in bed.seen("event") if e["id"] == short_id]
    last = max(e["at"] for e in events if e["at"] >= resent_at)
    bed.note(
        "judged",
        score=result["score"],
        call_reached_engine=round(call["at"] - bed.began_at, 3),
        last_event_made=round(last - bed.began_at, 3),
    )
    if call["at"] < last:
        early = last - call["at"]
        return (
            f"MIXED: the reward call of the score {result['score']} reached its engine"
            f" {early:.2f} s before the last event of the text was made"
        )
    return ""


run(case)
