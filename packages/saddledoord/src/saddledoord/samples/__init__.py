# SPDX-License-Identifier: MIT

"""
Collects the samples of trainers' steps and runs them at engines.
"""
