# SPDX-License-Identifier: MIT

"""
Orders to engines, by one holder at a time.
"""
