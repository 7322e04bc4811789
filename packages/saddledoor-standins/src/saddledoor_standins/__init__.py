# SPDX-License-Identifier: MIT

"""
Small fakes of the platform, for tests and the demo; never shipped with the daemon.
"""
