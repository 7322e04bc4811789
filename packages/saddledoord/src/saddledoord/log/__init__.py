# SPDX-License-Identifier: MIT

"""
Client of the log service, with followers, key claims and leases.
"""
