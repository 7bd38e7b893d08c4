"""Bounds the work that bodies in very small chunks cause."""
