# SPDX-License-Identifier: MIT

"""
Serves requests that are passed through to engines.
"""
