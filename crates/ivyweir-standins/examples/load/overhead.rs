//! The time that a box adds: the same requests through a box and straight to an engine, in turn.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use ivyweir_standins::cluster::fast_engine_options;
use ivyweir_standins::{Caller, ClusterSpec};

use crate::{Args, report};

type Failure = Box<dyn std::error::Error>;

const CALLERS: usize = 4;
const TOKENS: u64 = 8;

/// Times of one way of calling.
struct Times {
    whole: Histogram<u64>,
    first_token: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let histogram = || report::histogram();
        Self {
            whole: histogram(),
            first_token: histogram(),
        }
    }

    fn call(&mut self, caller: &Caller, model: &str, prompt: &str) {
        let micros = |time: Duration| time.as_micros() as u64;
        let whole = caller.chat(model, prompt, TOKENS);
        assert!(whole.complete, "{whole:?}");
        self.whole.saturating_record(micros(whole.total));
        let stream = caller.stream(model, prompt, TOKENS);
        assert!(stream.complete, "{stream:?}");
        self.first_token
            .saturating_record(micros(stream.first_token));
    }

    fn add(&mut self, other: &Self) {
        self.whole.add(&other.whole).expect("the same digits");
        self.first_token
            .add(&other.first_token)
            .expect("the same digits");
    }
}

/// Compares, and prints the differences of percentiles.
pub fn run(args: &Args, binary: &Path) -> Result<(), Failure> {
    let halls = ["hall-a", "hall-b", "hall-c"];
    let engines = (0..4)
        .map(|_| fast_engine_options(&[("notes@v1", 0.9)]))
        .collect();
    let world = ClusterSpec::new(binary, &halls, engines).start()?;
    world.configure(&[("notes@v1", 1_000, 0.9)], &[("studio", 0.5, 1)]);
    let rounds = args.seconds * 40;
    let (mut through, mut direct) = (Times::new(), Times::new());
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..CALLERS)
            .map(|at| {
                let boxed = world.caller(at % halls.len(), "studio");
                let engine = Caller::new(&format!("http://{}", world.engines[at].addr()), "none");
                scope.spawn(move || {
                    let (mut through, mut direct) = (Times::new(), Times::new());
                    for n in 0..rounds {
                        let prompt = format!("caller {at} request {n}");
                        through.call(&boxed, "notes@v1", &prompt);
                        direct.call(&engine, "notes@v1", &prompt);
                    }
                    (through, direct)
                })
            })
            .collect();
        for worker in workers {
            let (t, d) = worker.join().expect("no worker panics");
            through.add(&t);
            direct.add(&d);
        }
    });
    println!(
        "{} requests each way, {CALLERS} callers at once",
        through.whole.len()
    );
    println!(
        "| | through a box p50/p99 ms | direct p50/p99 ms | added p50 | added p99 |\n|---|---|---|---|---|"
    );
    line("whole", &through.whole, &direct.whole);
    line("first token", &through.first_token, &direct.first_token);
    Ok(())
}

fn line(name: &str, through: &Histogram<u64>, direct: &Histogram<u64>) {
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "| {name} | {:.2}/{:.2} | {:.2}/{:.2} | {:.2} | {:.2} |",
        ms(through, 0.5),
        ms(through, 0.99),
        ms(direct, 0.5),
        ms(direct, 0.99),
        ms(through, 0.5) - ms(direct, 0.5),
        ms(through, 0.99) - ms(direct, 0.99),
    );
}
