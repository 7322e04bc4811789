# SPDX-License-Identifier: MIT

"""
Engines and services of the own deployment.
"""
