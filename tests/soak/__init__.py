# SPDX-License-Identifier: MIT

"""
A soak: real edges before stand-ins of the platform, under faults drawn from a seed.
"""
