//! Upstreams that name in their answers how many requests a second they take from all boxes together.
//!
//! What users saw: an engine that had named about one request a second got 15 of them in 4 s, another one 20, from boxes to
//! which it had said so; 12 and 13 are allowed. Order of events: a calm fleet of nine boxes; two of 18 engines began to name a limit;
//! boxes passed such answers on, and chose these engines as often as before.
//!
//! Cause: no code read the word. What an upstream takes of all boxes together was kept only while it is cold, which its record
//! says; a limit named in answers bound nobody, neither the box that heard it nor the others. Evidence: on the code before the mend the
//! lines of those answers say `"limit_per_s":1.0`, half of a box's lines go on to be of that engine, and no line tells of a
//! decision.

use std::thread;
use std::time::{Duration, Instant};

use ivyweir_standins::edge::{Act, Arrival, LimitPromise, ScriptedUpstream, Town, post_stream};

const BINARY: &str = env!("CARGO_BIN_EXE_ivyweird");

/// What upstreams that name a limit are promised.
const PROMISE: LimitPromise = LimitPromise {
    settling_ms: 3_000,
    told_ms: 500,
    window_ms: 4_000,
    factor: 1.5,
    slack: 5.0,
};
/// Time for which callers ask: two windows.
const ASKED_FOR: Duration = Duration::from_millis(8_000);
/// Pause of a caller between its requests.
const PAUSE: Duration = Duration::from_millis(20);

fn events(confidence: Option<u8>, break_after: Option<u64>) -> Act {
    Act::Stream {
        events: 3,
        gap_ms: 1,
        break_after,
        confidence,
    }
}

/// A caller at each box asks for this path, for some time.
fn ask_all(town: &Town, path: &str) {
    let until = Instant::now() + ASKED_FOR;
    thread::scope(|scope| {
        for (number, running) in town.boxes.iter().enumerate() {
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    // What becomes of a request is not judged here; its id tells the box.
                    let id = format!("{number}-{n}");
                    let _reply = post_stream(running.caller_addr, path, &id);
                    thread::sleep(PAUSE);
                }
            });
        }
    });
}

/// What reached an upstream since then, by the box that sent it.
fn arrivals(upstream: &ScriptedUpstream, since: Instant) -> Vec<Arrival> {
    let seen = upstream.seen().into_iter().map(|seen| {
        let id = seen.header("ivyweir-request-id").unwrap_or_default();
        Arrival {
            at_ms: (seen.at - since).as_millis() as u64,
            from: id.split('-').next().unwrap_or_default().into(),
            names_per_s: seen
                .names_limit
                .as_deref()
                .and_then(|per_s| per_s.parse().ok()),
        }
    });
    seen.collect()
}

/// The first upstream of a pool names a limit of one request a second; the other one does `act`.
macro_rules! limited {
    ($($name:ident: $halls:expr, $path:expr, $pool:ident, one $one:expr, the_other $other:expr;)*) => {$(
        #[test]
        fn $name() {
            let town = Town::with_boxes(BINARY, &$halls);
            let since = Instant::now();
            town.$pool[0].set($one);
            town.$pool[1].set($other);
            town.$pool[0].name_limit(Some("1"));
            ask_all(&town, $path);
            let arrivals = arrivals(&town.$pool[0], since);
            assert!(arrivals.len() > 1, "it gets what it takes");
            if let Err(excess) = PROMISE.check(&arrivals) {
                panic!("{excess}");
            }
        }
    )*};
}

limited! {
    a_limit_binds_a_box: ["hall-a"], "/stream/x", engines, one events(None, None), the_other events(None, None);
    a_limit_binds_all_boxes_together: ["hall-a", "hall-a", "hall-b", "hall-b"], "/stream/x", engines,
        one events(None, None), the_other events(None, None);
}
