"""
LOST: an item is withheld from all engines after four engines crashed beside it.

Four engines crash in turn while each of them has the last, long item of a step. All
engines come back, but the item reaches none of them: not in the rest of that step, nor
in the whole of the next one, in which its group comes again under the same ids.
"""

import base64
import sys
import time
from pathlib import Path


sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bed import HOST, MODEL, CannotRunError, run, until


#: The trainer gives a step up after this time, in seconds.
DEADLINE = 12.0
#: Time without a disruption after which the deployment is in steady state
#: (contact_ms), and the time of the rule, in seconds.
CONTACT, SITS = 3.0, 5.0
ENGINES, SLOTS = 6, 12
CRASHES = 4
#: Time for which a crashed engine is away, in seconds.
AWAY = 0.7
LONG_ID = "dd5e01c3d2f40917"
SHORT, LONG = b"short", b"long"
LLM = {
    "service": "pripovedovalec",
    "model": MODEL,
    "slots": SLOTS,
    "events": {SHORT.decode(): 4, LONG.decode(): 60},
    "event_s": 0.1,
}


def item(item_id, body, group):
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
        "group_size": group,
        "scorer": {
            "id": f"5c{item_id[:14]}",
            "host": HOST,
            "path": "/pufi791/5e07",
            "body": base64.b64encode(b"text to score").decode(),
        },
    }


def carried_group():
    rest = [item(f"d{n}5e01c3d2f40917", SHORT, "g1002a") for n in range(3)]
    return [*rest, item(LONG_ID, LONG, "g1002a")]


def other_group(step):
    return [item(f"e{n}5e{step:02x}c3d2f40917", SHORT, f"g10{step}") for n in range(4)]


def job(step):
    return {
        "step": step,
        "model": MODEL,
        "min_version": max(1, step - 1),
        "desired": 2,
        "requests": [*carried_group(), *other_group(step)],
    }


def crash_engines(bed):
    """
    Crash the engine that has the long item, four times in turn; return when the
    last one was back.
    """
    for number in range(CRASHES):
        at = until(lambda: engine_of_item(bed), 5, "the long item is at an engine")
        bed.kill(at)
        bed.note("engine_crashed", engine=at)
        killed_at = time.monotonic()
        time.sleep(max(0.0, AWAY - 0.2))
        settings = bed.engine_settings[at]
        new_id = f"{at.partition('-r')[0]}-r{number}"
        bed.start_engine(new_id, **{k: settings[k] for k in LLM})
        bed.note("engine_back", engine=new_id, away=time.monotonic() - killed_at)
    return time.monotonic()


def engine_of_item(bed):
    """
    Return the engine that has run the long item for 0.5 s, or none.
    """
    runs = [r for r in bed.seen("run") if r["id"] == LONG_ID]
    ended = {r["run"] for r in bed.seen("run_end")}
    for at in runs:
        alive = bed.processes[at["by"]].poll() is None
        if at["run"] not in ended and alive and time.monotonic() - at["at"] > 0.5:
            return at["by"]
    return None


def case(bed, trouble):
    engines = {f"i-llm{n}": dict(LLM) for n in range(ENGINES)}
    for n in range(2):
        engines[f"i-app{n}"] = {"service": "rezervacije", "slots": 6}
    bed.open(2, engines)
    steady_from = time.monotonic()
    for step, job_id in enumerate(["7c41e09b52d6a3f1", "7c41e09b52d6a3f2"], 1):
        submitted_at = time.monotonic()
        bed.submit("edge-0", job_id, job(step))
        if step == 1 and trouble:
            steady_from = crash_engines(bed) + CONTACT
        expires_at = submitted_at + DEADLINE
        while time.monotonic() < expires_at:
            results = bed.results("edge-1", job_id)
            if len(results) == len(job(step)["requests"]):
                break
            time.sleep(0.5)
        bed.note("step_over", step=step, listed=[r["id"] for r in results])
        broken = judge(bed, step, results, max(submitted_at, steady_from), expires_at)
        bed.ask("edge-0", "DELETE", f"/v1/lots/{job_id}")
        if broken and step == 2:
            return broken
        # The trainer trains and names the next version.
        time.sleep(0.5)
        version = {"model": MODEL, "version": step + 1}
        bed.put("keyed.op", f"version/{MODEL}", version)
        time.sleep(0.1)
        steady_from = max(steady_from, time.monotonic())
    return ""


def judge(bed, step, results, steady_from, expires_at):
    """
    "A step's time expires while one of its items, neither finished nor failed by any
    engine, has sat at no engine through 5 s of steady state; other items of the step
    had already begun, the engines stood under half full, no version was named at that
    moment or in the 6 s before it."
    """
    if LONG_ID in [r["id"] for r in results]:
        return ""
    runs = [r for r in bed.seen("run") if r["id"] == LONG_ID]
    ends = {r["run"]: r for r in bed.seen("run_end")}
    if any(ends.get(r["run"], {}).get("how") == "done" for r in runs):
        return ""
    # A run that an engine's crash cut has no end in its journal.
    last_at_engine = max(
        ends[r["run"]]["at"] if r["run"] in ends else r["at"] + 1.0 for r in runs
    )
    sat_from = max(last_at_engine, steady_from)
    others = [e for e in bed.seen("event") if e["id"] != LONG_ID]
    alive = [n for n in bed.processes if "llm" in n]
    alive = [n for n in alive if bed.processes[n].poll() is None]
    load = {n: running(bed, n) for n in alive}
    bed.note(
        "judged",
        step=step,
        sat_for=round(expires_at - sat_from, 3),
        runs=len(runs),
        engines=load,
        others=len(others),
    )
    half_full = sum(load.values()) * 2 >= SLOTS * len(load)
    if expires_at - sat_from < SITS or not others or half_full:
        return ""
    if len(alive) != ENGINES:
        raise CannotRunError(f"{len(alive)} engines run")
    return (
        f"LOST: the time of step {step} expired while its item {LONG_ID} had sat at no"
        f" engine for {expires_at - sat_from:.1f} s of steady state; the {ENGINES}"
        f" engines ran {sum(load.values())} requests"
    )


def running(bed, engine):
    runs = {r["run"] for r in bed.seen("run") if r["by"] == engine}
    return len(runs - {r["run"] for r in bed.seen("run_end")})


run(case)
