# SPDX-License-Identifier: MIT

"""
What the nodes agree on: the log's records, discovery, configuration, ownership.
"""
