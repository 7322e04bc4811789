# SPDX-License-Identifier: MIT

"""
Orders engines from the platform, from the node that holds the lease for it.
"""
