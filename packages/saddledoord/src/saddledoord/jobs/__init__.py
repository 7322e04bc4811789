# SPDX-License-Identifier: MIT

"""
Batch jobs, whose state is stored in the shared log.
"""
