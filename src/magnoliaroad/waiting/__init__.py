"""Requests that wait for a target with room, and the order in which they go on."""
