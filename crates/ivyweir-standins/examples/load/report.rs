//! Result tables in Markdown and latency plots in SVG.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::Args;
use crate::driver::RequestResult;
use crate::scenario::quality_target;

type DynError = Box<dyn std::error::Error>;

/// Raw measurements of one run.
pub struct RunResult {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Results of all requests sent in the measured phase.
    pub results: Vec<RequestResult>,
    /// Cost billed for the run, in millionths of the billing unit.
    pub cost_micro: u64,
    /// Number of engine calls to the degraded version after it was degraded.
    pub exposed_calls: usize,
    /// Hit rate of the engines' prefix caches, in blocks.
    pub hit_rate: f64,
    /// Deadline of each request.
    pub deadline_ms: u64,
}

/// A table row: the raw measurements and the statistics derived from them.
pub struct Row {
    /// Raw measurements.
    pub run: RunResult,
    completed: usize,
    /// Number of requests that got a valid answer within the deadline.
    goodput: usize,
    mean_quality: f64,
    targets_met: (usize, usize),
    first_token: Percentiles,
    total: Percentiles,
    errors: BTreeMap<String, usize>,
    late: usize,
    /// Share of completed requests among those of all workspaces but 0, which sends the flood.
    others_served: f64,
}

#[derive(Clone, Copy, Default)]
struct Percentiles {
    p50_ms: u64,
    p95_ms: u64,
    p99_ms: u64,
}

/// Returns an empty histogram for values from 1 µs to two minutes, to three significant digits.
pub fn histogram() -> Histogram<u64> {
    const MAX_US: u64 = 120_000_000;
    Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid")
}

fn percentiles(times: impl Iterator<Item = Duration>) -> Percentiles {
    let mut histogram = histogram();
    for time in times {
        histogram.saturating_record(time.as_micros() as u64);
    }
    let at = |q| histogram.value_at_quantile(q) / 1_000;
    Percentiles {
        p50_ms: at(0.50),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

/// Computes the statistics of a run.
pub fn summarize(run: RunResult) -> Row {
    let results = &run.results;
    let completed: Vec<&RequestResult> = results.iter().filter(|r| r.outcome.complete).collect();
    let deadline = Duration::from_millis(run.deadline_ms);
    let goodput = completed
        .iter()
        .filter(|r| r.outcome.total <= deadline && r.quality.is_some())
        .count();
    let qualities: Vec<f64> = completed.iter().filter_map(|r| r.quality).collect();
    let mut errors = BTreeMap::new();
    for failed in results.iter().filter(|d| !d.outcome.complete) {
        let code = if failed.outcome.code.is_empty() {
            "no_answer"
        } else {
            &failed.outcome.code
        };
        *errors.entry(code.to_owned()).or_default() += 1;
    }
    let others: Vec<&RequestResult> = results.iter().filter(|r| r.workspace != 0).collect();
    let others_completed = others.iter().filter(|r| r.outcome.complete).count();
    Row {
        completed: completed.len(),
        goodput,
        mean_quality: qualities.iter().sum::<f64>() / qualities.len().max(1) as f64,
        targets_met: count_targets_met(&completed),
        first_token: percentiles(
            completed
                .iter()
                .filter(|r| r.stream)
                .map(|r| r.outcome.first_token),
        ),
        total: percentiles(completed.iter().map(|r| r.outcome.total)),
        errors,
        late: results.iter().filter(|r| r.late).count(),
        others_served: others_completed as f64 / others.len().max(1) as f64,
        run,
    }
}

/// Number of quality targets that were met, and number of targets with enough answers to judge.
///
/// A single workspace gets too few answers in a short run, so the answers of all workspaces with
/// the same target are averaged.
fn count_targets_met(completed: &[&RequestResult]) -> (usize, usize) {
    const MIN_ANSWERS: usize = 30;
    let mut by_target: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for result in completed {
        let target_milli = (quality_target(result.workspace) * 1_000.0) as u64;
        by_target
            .entry(target_milli)
            .or_default()
            .extend(result.quality);
    }
    let judged = by_target.iter().filter(|(_, q)| q.len() >= MIN_ANSWERS);
    let met =
        judged.map(|(milli, q)| q.iter().sum::<f64>() / q.len() as f64 * 1_000.0 >= *milli as f64);
    met.fold((0, 0), |(met, all), is_met| {
        (met + usize::from(is_met), all + 1)
    })
}

const TABLE_HEADER: &str = "| scenario | policy | requests | goodput | cost/req (µ) | quality | targets met | first token p50/p95/p99 ms | whole p50/p95/p99 ms | prefix hits | exposed | others served | refusals |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Formats a row of the Markdown table.
pub fn table_row(row: &Row) -> String {
    let run = &row.run;
    let errors: Vec<String> = row
        .errors
        .iter()
        .map(|(code, n)| format!("{code} {n}"))
        .collect();
    let late = if row.late > 0 {
        format!(" (late {})", row.late)
    } else {
        String::new()
    };
    format!(
        "| {} | {} | {}{late} | {} ({:.1}%) | {} | {:.3} | {}/{} | {}/{}/{} | {}/{}/{} | {:.1}% | {} | {:.1}% | {} |",
        run.scenario,
        run.policy,
        run.results.len(),
        row.goodput,
        100.0 * row.goodput as f64 / run.results.len().max(1) as f64,
        run.cost_micro / (row.completed.max(1) as u64),
        row.mean_quality,
        row.targets_met.0,
        row.targets_met.1,
        row.first_token.p50_ms,
        row.first_token.p95_ms,
        row.first_token.p99_ms,
        row.total.p50_ms,
        row.total.p95_ms,
        row.total.p99_ms,
        100.0 * run.hit_rate,
        if run.scenario == "bad_version" {
            run.exposed_calls.to_string()
        } else {
            "-".into()
        },
        100.0 * row.others_served,
        errors.join(", "),
    )
}

/// Writes the table, and plots of the scenarios that were run with more than one policy.
pub fn write(args: &Args, rows: &[Row]) -> Result<(), DynError> {
    let lines: Vec<String> = rows.iter().map(table_row).collect();
    let text = format!("{TABLE_HEADER}\n{}\n", lines.join("\n"));
    let file = args.out.join(format!("{}.md", args.deployment));
    fs::write(&file, text)?;
    println!("table: {}", file.display());
    for scenario in ["steady", "surge"] {
        let of_scenario: Vec<&Row> = rows.iter().filter(|r| r.run.scenario == scenario).collect();
        if of_scenario.len() > 1 {
            let path = args.out.join(format!("{}-{scenario}.svg", args.deployment));
            plot(&path, scenario, &of_scenario)?;
            println!("plot: {}", path.display());
        }
    }
    Ok(())
}

/// Plots the time to first token against the percentile, one curve per policy.
fn plot(path: &std::path::Path, scenario: &str, rows: &[&Row]) -> Result<(), DynError> {
    let curves: Vec<(String, Vec<(f64, f64)>)> = rows
        .iter()
        .map(|r| (r.run.policy.clone(), first_token_curve(&r.run.results)))
        .collect();
    let max_ms = curves
        .iter()
        .flat_map(|(_, c)| c.iter().map(|p| p.1))
        .fold(1.0, f64::max);
    let area = SVGBackend::new(path, (900, 540)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{scenario}: time to the first token"),
            ("sans-serif", 22),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..100.0, (1.0..max_ms).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percent of streams")
        .y_desc("ms")
        .draw()?;
    for (index, (policy, curve)) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(curve, colour.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn first_token_curve(results: &[RequestResult]) -> Vec<(f64, f64)> {
    let streams = results.iter().filter(|r| r.stream && r.outcome.complete);
    let mut times: Vec<f64> = streams
        .map(|r| r.outcome.first_token.as_secs_f64() * 1e3)
        .collect();
    times.sort_by(f64::total_cmp);
    let count = times.len().max(1) as f64;
    times
        .into_iter()
        .enumerate()
        .map(|(n, t)| (100.0 * n as f64 / count, t.max(1.0)))
        .collect()
}
