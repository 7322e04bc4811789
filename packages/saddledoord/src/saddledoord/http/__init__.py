# SPDX-License-Identifier: MIT

"""
The daemon's HTTP interface.
"""
