# SPDX-License-Identifier: MIT

"""
Communication between daemons.
"""
