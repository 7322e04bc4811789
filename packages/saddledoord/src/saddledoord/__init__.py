# SPDX-License-Identifier: MIT

"""
The saddledoor daemon: adapters and the event loop around the library's decisions.
"""
