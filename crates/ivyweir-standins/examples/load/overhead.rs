//! Latency that a box adds: each request is sent through a box and then directly to an engine.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use ivyweir_standins::cluster::fast_engine_options;
use ivyweir_standins::{Caller, ClusterSpec};

use crate::{Args, report};

type DynError = Box<dyn std::error::Error>;

const CALLER_COUNT: usize = 4;
const ANSWER_TOKENS: u64 = 8;

/// Latency histograms of one path, in microseconds: total time of non-streamed answers, and time to
/// first token of streamed ones.
struct Latencies {
    total: Histogram<u64>,
    first_token: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let histogram = || report::histogram();
        Self {
            total: histogram(),
            first_token: histogram(),
        }
    }

    fn record_call(&mut self, caller: &Caller, model: &str, prompt: &str) {
        let micros = |time: Duration| time.as_micros() as u64;
        let answer = caller.chat(model, prompt, ANSWER_TOKENS);
        assert!(answer.complete, "{answer:?}");
        self.total.saturating_record(micros(answer.total));
        let stream = caller.stream(model, prompt, ANSWER_TOKENS);
        assert!(stream.complete, "{stream:?}");
        self.first_token
            .saturating_record(micros(stream.first_token));
    }

    fn merge(&mut self, other: &Self) {
        self.total
            .add(&other.total)
            .expect("histograms have the same bounds");
        self.first_token
            .add(&other.first_token)
            .expect("histograms have the same bounds");
    }
}

/// Measures both paths and prints a table of their percentiles and the differences.
pub fn run(args: &Args, binary: &Path) -> Result<(), DynError> {
    let halls = ["hall-a", "hall-b", "hall-c"];
    let engines = (0..4)
        .map(|_| fast_engine_options(&[("notes@v1", 0.9)]))
        .collect();
    let world = ClusterSpec::new(binary, &halls, engines).start()?;
    world.configure(&[("notes@v1", 1_000, 0.9)], &[("studio", 0.5, 1)]);
    let rounds = args.seconds * 40;
    let (mut via_box, mut direct) = (Latencies::new(), Latencies::new());
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..CALLER_COUNT)
            .map(|caller_index| {
                let box_caller = world.caller(caller_index % halls.len(), "studio");
                let engine_caller = Caller::new(
                    &format!("http://{}", world.engines[caller_index].addr()),
                    "none",
                );
                scope.spawn(move || {
                    let (mut via_box, mut direct) = (Latencies::new(), Latencies::new());
                    for n in 0..rounds {
                        let prompt = format!("caller {caller_index} request {n}");
                        via_box.record_call(&box_caller, "notes@v1", &prompt);
                        direct.record_call(&engine_caller, "notes@v1", &prompt);
                    }
                    (via_box, direct)
                })
            })
            .collect();
        for worker in workers {
            let (t, d) = worker.join().expect("worker thread does not panic");
            via_box.merge(&t);
            direct.merge(&d);
        }
    });
    println!(
        "{} requests each way, {CALLER_COUNT} callers at once",
        via_box.total.len()
    );
    println!(
        "| | through a box p50/p99 ms | direct p50/p99 ms | added p50 | added p99 |\n|---|---|---|---|---|"
    );
    print_row("whole", &via_box.total, &direct.total);
    print_row("first token", &via_box.first_token, &direct.first_token);
    Ok(())
}

fn print_row(name: &str, via_box: &Histogram<u64>, direct: &Histogram<u64>) {
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "| {name} | {:.2}/{:.2} | {:.2}/{:.2} | {:.2} | {:.2} |",
        ms(via_box, 0.5),
        ms(via_box, 0.99),
        ms(direct, 0.5),
        ms(direct, 0.99),
        ms(via_box, 0.5) - ms(direct, 0.5),
        ms(via_box, 0.99) - ms(direct, 0.99),
    );
}
