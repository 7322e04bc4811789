# SPDX-License-Identifier: MIT

"""
Orders to engines, sent by the node that holds their lease.
"""
