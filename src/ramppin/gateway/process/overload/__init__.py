"""Overload control: capacity, admission queue, fairness, early rejection."""
