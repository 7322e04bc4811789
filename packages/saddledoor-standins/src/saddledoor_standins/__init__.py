# SPDX-License-Identifier: MIT

"""
Stand-ins of the platform for tests and the demo; not shipped with the daemon.
"""
