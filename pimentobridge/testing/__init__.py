"""Fakes of external systems, for tests of this and other projects."""
