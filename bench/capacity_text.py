"""Formats figures and tables of docs/CAPACITY.md."""


def number(value):
    """Three significant digits, without an exponent between 0.001 and ten million."""
    if value == 0:
        return "0"
    if abs(value) >= 1e7 or abs(value) < 1e-3:
        return f"{value:.3g}"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def size(value):
    for unit, scale in (("TB", 1e12), ("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(value) >= scale:
            return f"{value / scale:.3g} {unit}"
    return f"{value:.3g} B"


def seconds(value):
    if abs(value) >= 1:
        return f"{number(value)} s"
    return f"{value * 1e3:.3g} ms" if abs(value) >= 1e-3 else f"{value * 1e6:.3g} µs"


def verdict(value, limit):
    return f"holds ({value / limit:.2g} of the limit)" if value <= limit else f"**misses by {number(value / limit)} times**"


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    return lines + ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows] + [""]
