# SPDX-License-Identifier: MIT

"""
What the daemons say to each other.
"""
