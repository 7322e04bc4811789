# SPDX-License-Identifier: MIT

"""
Filters of the request's path, one module each; `saddledoord._pipeline` chains them.
"""
