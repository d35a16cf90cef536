#!/usr/bin/env python3
"""Draws a line of figures by round as an SVG.

    tools/plot_rounds.py OUT.svg TITLE LABEL=VALUE...
"""

import sys

WIDTH, HEIGHT, LEFT, TOP, BOTTOM = 760, 320, 60, 40, 70


def main():
    out, title, *pairs = sys.argv[1:]
    rounds = [(label, float(value)) for label, value in (pair.split("=") for pair in pairs)]
    values = [value for _, value in rounds]
    low, high = min(values) - 0.01, max(values) + 0.01
    x = lambda n: LEFT + n * (WIDTH - LEFT - 40) / max(1, len(rounds) - 1)
    y = lambda value: TOP + (high - value) / (high - low) * (HEIGHT - TOP - BOTTOM)
    points = " ".join(f"{x(n):.0f},{y(value):.0f}" for n, value in enumerate(values))
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{LEFT}" y="20" font-size="14">{title}</text>',
        f'<polyline points="{points}" fill="none" stroke="steelblue" stroke-width="2"/>',
    ]
    for n, (label, value) in enumerate(rounds):
        parts.append(f'<circle cx="{x(n):.0f}" cy="{y(value):.0f}" r="3" fill="steelblue"/>')
        parts.append(f'<text x="{x(n):.0f}" y="{y(value) - 8:.0f}" text-anchor="middle">{value:.3f}</text>')
        parts.append(f'<text x="{x(n):.0f}" y="{HEIGHT - BOTTOM + 30}" text-anchor="middle">{label}</text>')
    parts.append("</svg>")
    with open(out, "w") as file:
        file.write("\n".join(parts) + "\n")


main()
