//! Tables and plots.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::Args;
use crate::drive::Done;
use crate::scenario::target;

type Failure = Box<dyn std::error::Error>;

/// What a run brought.
pub struct Measured {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// All requests.
    pub done: Vec<Done>,
    /// What was billed.
    pub cost_micro: u64,
    /// Engine calls on the version that turned bad.
    pub exposed: usize,
    /// Share of prefix blocks found in engines' caches.
    pub hit_rate: f64,
    /// Time for each request.
    pub deadline_ms: u64,
}

/// One line of a table.
pub struct Row {
    /// What was run.
    pub measured: Measured,
    whole: usize,
    good: usize,
    mean_quality: f64,
    meeting: (usize, usize),
    first_token: Percentiles,
    total: Percentiles,
    refusals: BTreeMap<String, usize>,
    late: usize,
    small_share: f64,
}

#[derive(Clone, Copy, Default)]
struct Percentiles {
    p50_ms: u64,
    p95_ms: u64,
    p99_ms: u64,
}

/// A histogram of microseconds, up to two minutes.
pub fn histogram() -> Histogram<u64> {
    const MOST_US: u64 = 120_000_000;
    Histogram::new_with_bounds(1, MOST_US, 3).expect("the bounds are valid")
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

/// Condenses a run.
pub fn summarise(measured: Measured) -> Row {
    let done = &measured.done;
    let whole: Vec<&Done> = done.iter().filter(|d| d.outcome.complete).collect();
    let deadline = Duration::from_millis(measured.deadline_ms);
    let good = whole
        .iter()
        .filter(|d| d.outcome.total <= deadline && d.quality.is_some())
        .count();
    let qualities: Vec<f64> = whole.iter().filter_map(|d| d.quality).collect();
    let mut refusals = BTreeMap::new();
    for refused in done.iter().filter(|d| !d.outcome.complete) {
        let code = if refused.outcome.code.is_empty() {
            "no_answer"
        } else {
            &refused.outcome.code
        };
        *refusals.entry(code.to_owned()).or_default() += 1;
    }
    let others: Vec<&Done> = done.iter().filter(|d| d.workspace != 0).collect();
    let others_whole = others.iter().filter(|d| d.outcome.complete).count();
    Row {
        whole: whole.len(),
        good,
        mean_quality: qualities.iter().sum::<f64>() / qualities.len().max(1) as f64,
        meeting: meeting(&whole),
        first_token: percentiles(
            whole
                .iter()
                .filter(|d| d.stream)
                .map(|d| d.outcome.first_token),
        ),
        total: percentiles(whole.iter().map(|d| d.outcome.total)),
        refusals,
        late: done.iter().filter(|d| d.late).count(),
        small_share: others_whole as f64 / others.len().max(1) as f64,
        measured,
    }
}

/// Targets whose workspaces together reach them, of those with enough answers to tell.
///
/// One workspace has too few answers in a short run; those with the same target are taken together.
fn meeting(whole: &[&Done]) -> (usize, usize) {
    const ENOUGH: usize = 30;
    let mut by_target: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for done in whole {
        let target_milli = (target(done.workspace) * 1_000.0) as u64;
        by_target
            .entry(target_milli)
            .or_default()
            .extend(done.quality);
    }
    let told = by_target.iter().filter(|(_, q)| q.len() >= ENOUGH);
    let met =
        told.map(|(milli, q)| q.iter().sum::<f64>() / q.len() as f64 * 1_000.0 >= *milli as f64);
    met.fold((0, 0), |(met, all), is_met| {
        (met + usize::from(is_met), all + 1)
    })
}

const HEAD: &str = "| scenario | policy | requests | goodput | cost/req (µ) | quality | targets met | first token p50/p95/p99 ms | whole p50/p95/p99 ms | prefix hits | exposed | others served | refusals |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// A row as a line of a Markdown table.
pub fn line(row: &Row) -> String {
    let m = &row.measured;
    let refusals: Vec<String> = row
        .refusals
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
        m.scenario,
        m.policy,
        m.done.len(),
        row.good,
        100.0 * row.good as f64 / m.done.len().max(1) as f64,
        m.cost_micro / (row.whole.max(1) as u64),
        row.mean_quality,
        row.meeting.0,
        row.meeting.1,
        row.first_token.p50_ms,
        row.first_token.p95_ms,
        row.first_token.p99_ms,
        row.total.p50_ms,
        row.total.p95_ms,
        row.total.p99_ms,
        100.0 * m.hit_rate,
        if m.scenario == "bad_version" {
            m.exposed.to_string()
        } else {
            "-".into()
        },
        100.0 * row.small_share,
        refusals.join(", "),
    )
}

/// Writes the table and the plots.
pub fn write(args: &Args, rows: &[Row]) -> Result<(), Failure> {
    let lines: Vec<String> = rows.iter().map(line).collect();
    let text = format!("{HEAD}\n{}\n", lines.join("\n"));
    let file = args.out.join(format!("{}.md", args.deployment));
    fs::write(&file, text)?;
    println!("table: {}", file.display());
    for scenario in ["steady", "surge"] {
        let of_scenario: Vec<&Row> = rows
            .iter()
            .filter(|r| r.measured.scenario == scenario)
            .collect();
        if of_scenario.len() > 1 {
            let path = args.out.join(format!("{}-{scenario}.svg", args.deployment));
            plot(&path, scenario, &of_scenario)?;
            println!("plot: {}", path.display());
        }
    }
    Ok(())
}

/// Time to the first token over its quantile, a line per policy.
fn plot(path: &std::path::Path, scenario: &str, rows: &[&Row]) -> Result<(), Failure> {
    let curves: Vec<(String, Vec<(f64, f64)>)> = rows
        .iter()
        .map(|r| (r.measured.policy.clone(), curve(&r.measured.done)))
        .collect();
    let most = curves
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
        .build_cartesian_2d(0.0..100.0, (1.0..most).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("percent of streams")
        .y_desc("ms")
        .draw()?;
    for (at, (policy, curve)) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
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

fn curve(done: &[Done]) -> Vec<(f64, f64)> {
    let streams = done.iter().filter(|d| d.stream && d.outcome.complete);
    let mut times: Vec<f64> = streams
        .map(|d| d.outcome.first_token.as_secs_f64() * 1e3)
        .collect();
    times.sort_by(f64::total_cmp);
    let last = times.len().max(1) as f64;
    times
        .into_iter()
        .enumerate()
        .map(|(n, t)| (100.0 * n as f64 / last, t.max(1.0)))
        .collect()
}
