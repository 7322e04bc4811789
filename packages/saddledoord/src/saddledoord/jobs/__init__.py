# SPDX-License-Identifier: MIT

"""
Batch jobs that last in the log.
"""
