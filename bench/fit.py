"""Points that were measured, and the line through those of one slope."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True)
class Point:
    """One measured point.

    Attributes:
        slope: what grows.
        size: how large it was made.
        value: what was measured.
        unit: of the value.
    """

    slope: str
    size: float
    value: float
    unit: str


@dataclass(frozen=True)
class Fit:
    """A line through the points of one slope.

    Attributes:
        slope: what grows.
        base: the value at size 0.
        per_item: growth for each item.
        fit: coefficient of determination.
        unit: of base and growth.
        sizes: the sizes that were measured.
    """

    slope: str
    base: float
    per_item: float
    fit: float
    unit: str
    sizes: list[float]

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.per_item * size


def fit_line(points: list[Point]) -> Fit:
    """Return the least-squares line through points of one slope."""
    sizes = np.array([point.size for point in points])
    values = np.array([point.value for point in points])
    per_item, base = np.polyfit(sizes, values, 1)
    rest = values - (base + per_item * sizes)
    spread = float(((values - values.mean()) ** 2).sum())
    quality = 1.0 - float((rest**2).sum()) / spread if spread else 1.0
    first = points[0]
    return Fit(
        first.slope,
        float(base),
        float(per_item),
        round(quality, 4),
        first.unit,
        [float(size) for size in sizes],
    )
