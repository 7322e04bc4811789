# SPDX-License-Identifier: MIT

"""
The saddledoor daemon: network, log and event loop around the saddledoor library.
"""
