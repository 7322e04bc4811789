# SPDX-License-Identifier: MIT

"""
Servers built on the saddledoor library: the daemon (`_daemon`) and the gateway
(`gateway`).
"""
