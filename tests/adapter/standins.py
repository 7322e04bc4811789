# SPDX-License-Identifier: MIT

"""
Runs a stand-in for the platform: ``standins.py store|engine|duties|pour PORT ...``.
"""

from __future__ import annotations

import sys

from aiohttp import web
from standin_duties import duties_app
from standin_pour import serve_pour

from standin_engine import engine_app
from standin_store import store_app


def main(kind: str, port: str, *rest: str) -> None:
    """
    Serve on a loopback port until terminated.
    """
    if kind == "pour":
        serve_pour(int(port))
        return
    address = f"127.0.0.1:{port}"
    apps = {
        "store": store_app,
        "engine": lambda: engine_app(address, *rest),
        "duties": duties_app,
    }
    # Cancel a handler when its caller disconnects.
    web.run_app(
        apps[kind](),
        host="127.0.0.1",
        port=int(port),
        print=None,
        handler_cancellation=True,
    )


if __name__ == "__main__":
    main(*sys.argv[1:])
