# SPDX-License-Identifier: MIT

"""
Measurements that the docs quote; each prints a table and returns its rows.
"""
