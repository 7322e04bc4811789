# SPDX-License-Identifier: MIT

"""
Messages between saddledoord processes; ``peer_pb2*.py`` is made by ``make wire``.
"""
