# SPDX-License-Identifier: MIT

"""
The HTTP face of the daemon's own interface.
"""
