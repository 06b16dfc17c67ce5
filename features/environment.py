"""Behave environment, without hooks.

The steps run the production entry and agent code in virtual time.
"""
