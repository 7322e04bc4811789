# SPDX-License-Identifier: MIT

"""
Requests that are passed through to a service.
"""
