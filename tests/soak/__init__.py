# SPDX-License-Identifier: MIT

"""
A soak test: real edges in front of platform stand-ins, with seeded random faults.
"""
