# SPDX-License-Identifier: MIT

"""
The operators' command line: configuration, status, reports and replay.
"""
