# SPDX-License-Identifier: MIT

"""
Measurements for the docs; each prints a table and returns its rows.
"""
