# SPDX-License-Identifier: MIT

"""
The product's own log service: client, followers, claims, leases.
"""
