"""Decisions on what runs where: order, placement, reclaim."""
