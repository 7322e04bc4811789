# SPDX-License-Identifier: MIT

"""
Clients, dispatching and monitoring of the deployment's backend servers.
"""
