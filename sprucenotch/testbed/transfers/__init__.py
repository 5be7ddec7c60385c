"""Long transfers: one sidecar between clients and servers that send long bodies, read slowly, and leave.

Servers are sound here, so every client that stays must get an answer, and a whole one. All that a request
does is drawn from the seed and its id.
"""
