#!/usr/bin/env python3
"""Plays standard days of a site under several seeds and prints their mean worth.

    tools/rounds.py BENCH SITE --why TEXT [--days a,b] [--seeds 1,2,3] [--jobs 4] [--policy JSON] [--small]

`--policy` puts settings of the gateway's `policy` section into the settings template for these
plays, so that a mechanism can be switched off; the template is put back afterwards.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile

TEMPLATE = pathlib.Path("deploy/gateway.json.tmpl")
STANDARD_DAYS = "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3"
DAY_LIMIT_S = 500
# Column, and how the report names the price.
PRICES = [
    ("models", "worth paid for"),
    ("halls", "GB between"),
    ("reread", "1,000 tokens of shared"),
    ("calls", "cloud calls"),
    ("boxes", "machine-seconds"),
]


def play(bench, site, day, seed, why, folder, options):
    report = pathlib.Path(folder) / f"{pathlib.Path(day).stem}-{seed}.json"
    seeded = ["--seed", seed] if seed != "0" else []
    call = [bench, "run", site, day, *seeded, *options, "--report", str(report), "--why", why]
    done = subprocess.run(call, capture_output=True, text=True, timeout=DAY_LIMIT_S)
    if not report.exists():
        return day, seed, None, done.stdout[-400:] + done.stderr[-400:]
    return day, seed, json.loads(report.read_text()), ""


def with_policy(template, policy):
    """The template with these fields in its policy section, in place of those of the same names."""
    head, rest = template.split('"policy": {', 1)
    section, tail = rest.split("\n  }", 1)
    kept = [line for line in section.splitlines() if line.strip() and line.split('"')[1] not in policy]
    kept = [line.rstrip(",") for line in kept]
    fields = kept + [f'    "{name}": {json.dumps(value)}' for name, value in policy.items()]
    return head + '"policy": {\n' + ",\n".join(fields) + "\n  }" + tail


def price(report, name):
    return sum(row[2] for row in report["prices"] if row[0].startswith(name))


def row(label, reports):
    mean = lambda values: statistics.mean(list(values))
    parts = [mean(r["parts"][i][2] for r in reports) for i in range(len(reports[0]["parts"]))]
    print(
        f"{label:12} worth {mean(r['G'] for r in reports):.4f}  "
        + " ".join(f"{name[0]} {value:.3f}" for name, value in zip(reports[0]["parts"], parts))
        + f"  late {mean(r['all']['late'] / r['all']['n'] for r in reports):.3f}"
        + f" refused {mean(r['refused'] for r in reports):.3f}"
        + f" failed {mean(r['failed'] for r in reports):.3f}"
        + " "
        + "".join(f" {column} {mean(price(r, name) for r in reports):.4f}" for column, name in PRICES)
        + f" other {mean(sum(p[2] for p in r['prices']) for r in reports) - sum(mean(price(r, name) for r in reports) for _, name in PRICES):.4f}"
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--why", required=True)
    parser.add_argument("--days", default=STANDARD_DAYS)
    parser.add_argument("--seeds", default="0,1,2,3")
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--policy", help="JSON object of policy settings")
    parser.add_argument("--cpu", action="store_true", help="count processor time")
    parser.add_argument("--small", action="store_true", help="small twins of a large site's days")
    args = parser.parse_args()
    options = ([] if args.cpu else ["--no-cpu"]) + (["--small"] if args.small else [])
    template = TEMPLATE.read_text()
    if args.policy:
        TEMPLATE.write_text(with_policy(template, json.loads(args.policy)))
    try:
        build = subprocess.run([args.bench, "build"], capture_output=True, text=True)
        if build.returncode != 0:
            sys.exit(build.stdout + build.stderr)
        with tempfile.TemporaryDirectory() as folder, concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
            plays = [
                pool.submit(play, args.bench, args.site, day, seed, args.why, folder, options)
                for day in args.days.split(",")
                for seed in args.seeds.split(",")
            ]
            results = [p.result() for p in plays]
    finally:
        TEMPLATE.write_text(template)
    by_day = {}
    for day, seed, report, error in results:
        if report is None:
            print(f"{day} seed {seed}: no report: {error}")
            continue
        by_day.setdefault(day, []).append(report)
        if report["breaks"] or report["fault"]:
            print(f"{day} seed {seed}: BROKEN {report['breaks']} {report['fault']}")
    for day, reports in by_day.items():
        row(pathlib.Path(day).stem, reports)
    troubled = [r for day, reports in by_day.items() for r in reports if not day.startswith("quiet")]
    if troubled:
        row("troubled", troubled)


main()
