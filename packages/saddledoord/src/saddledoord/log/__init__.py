# SPDX-License-Identifier: MIT

"""
Client of the log service, with followers, key claims and leases.

A fold is the state that results from applying a stream's records in order.
"""
