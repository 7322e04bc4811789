# SPDX-License-Identifier: MIT

"""
Duties, each performed by the node that holds its lease, such as usage reports.
"""
