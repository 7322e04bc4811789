# SPDX-License-Identifier: MIT

"""
Logs, metrics, traces and the burn report.
"""
