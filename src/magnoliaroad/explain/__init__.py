"""Explains where a request would be sent now and why, without sending it."""
