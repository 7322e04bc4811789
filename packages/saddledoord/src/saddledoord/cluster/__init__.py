# SPDX-License-Identifier: MIT

"""
Follows the shared state of all nodes: configuration, engines, leases, work shares.
"""
