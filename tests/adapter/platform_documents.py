# SPDX-License-Identifier: MIT

"""
Builders for settings, configurations and jobs of the platform and its clients.
"""

from __future__ import annotations

import base64


__all__ = [
    "HOST",
    "DUTIES",
    "ITEMS",
    "MODEL",
    "SETTINGS",
    "make_config",
    "make_job",
    "texts",
    "whole_texts",
]

HOST = "desk.example"
MODEL = "model-a"
#: Default number of items of a job.
ITEMS = 6


def make_config(version: int = 1, **changes: object) -> dict:
    """
    Return a configuration with a safe, an unsafe and a job route.
    """
    plain = {"host": HOST, "timeout_ms": 2000, "slo_ms": 200, "priority": 2}
    routes = [
        {
            "name": "look-up",
            "path_prefix": "/look/",
            "route_type": "safe",
            "service": "desk",
            "max_attempts": 3,
            **plain,
        },
        {
            "name": "book",
            "path_prefix": "/book/",
            "route_type": "unsafe",
            "service": "desk",
            "max_attempts": 3,
            **plain,
        },
        {
            "name": "train",
            "path_prefix": "/train/",
            "route_type": "rollout",
            "service": "pool",
            "max_attempts": 3,
            "max_queue_s": 40,
            **plain,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 50},
            {
                "name": "pool",
                "health_path": "/health",
                "max_conns": 50,
                "engine": {"models": [{"name": MODEL}]},
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **changes,
    }


def make_job(items: int = 6, **changes: object) -> dict:
    """
    Return a job as a trainer submits it, with two items per group.
    """
    requests = [
        {
            "id": f"item-{index}",
            "path": f"/train/{index}",
            "headers": {"Saddledoor-Model-Name": MODEL},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 10,
            "group_size": f"group-{index // 2}",
            "scorer": {
                "id": f"score-{index}",
                "host": HOST,
                "path": "/look/score",
                "body": base64.b64encode(b"score").decode(),
            },
        }
        for index in range(items)
    ]
    fields = {"step": 1, "model": MODEL, "min_version": 1, "desired": 2}
    return {**fields, "requests": requests, **changes}


def texts(results: list[dict]) -> dict[str, str]:
    """
    Return the texts of results, by item.
    """
    return {result["id"]: result["message"] for result in results}


def whole_texts(items: int = ITEMS, events: int = 5) -> dict[str, str]:
    """
    Return the texts that the stand-in engines make of a job's items.
    """
    return {
        f"item-{i}": "\n".join(f"item-{i}-{n}" for n in range(1, events + 1))
        for i in range(items)
    }


SETTINGS = """
node_name = "{0}"
ip = "127.0.0.1"
zone = "dc-a"
a_field_of_later = true
[listen]
front = "127.0.0.1:{1}"
ready = "127.0.0.1:{2}"
[limits]
cpu_share = 0.5
cores = 2
[platform]
address = "127.0.0.1:{3}"
parts = 4
record_bytes = 2048
call_bytes = 4100
ttl_min_ms = 1000
max_queue_s = {5}
[timing_bounds]
lease_ms = {4}
grace_s = 8
cancel_ms = 3000
config_apply_ms = 2000
status_s = 120
"""

#: Additional settings where usage is reported: windows of 1 s, reports due after 4 s.
DUTIES = """
report_window_s = 1
usage_late_s = 4
[cloud_api]
address = "127.0.0.1:{0}"
duties = ["usage", "scale"]
duty_per_s = 50.0
"""
