"""Plays in which peers press on one sidecar: many misbehaving clients, slow servers, clients that leave.

Well-behaved clients beside them must get their answers, and the process must stay within its limits.
"""
