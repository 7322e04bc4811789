# SPDX-License-Identifier: MIT

"""
Duties that one node has at a time, and the usage that it reports to the platform.
"""
