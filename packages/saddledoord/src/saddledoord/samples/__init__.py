# SPDX-License-Identifier: MIT

"""
A trainer's step: collector and runners.
"""
