"""Drives dotterelshed and its stand-ins as separate processes."""
