use std::io;
use std::sync::atomic::{AtomicU32, Ordering};

use prometheus::Opts;
use tokio::runtime::Builder;
use tokio::sync::Notify;

use super::*;
use crate::clock::Clock;

fn supervisor() -> Supervisor {
    let log = Log::start_on(Clock::start(), io::sink()).expect("a thread can be started");
    let ends = IntCounterVec::new(Opts::new("ends", "Ends"), &["task"]);
    Supervisor::new(log, ends.expect("the metric is valid"))
}

/// Runs a task that ends twice in this way, and then for ever.
macro_rules! ends {
    ($($name:ident: $role:expr, $end:expr => serving $is_serving:expr;)*) => {$(
        #[test]
        fn $name() {
            let runtime = Builder::new_current_thread().enable_time().build();
            runtime.expect("a runtime can be built").block_on(async {
                let supervisor = supervisor();
                let starts = Arc::new(AtomicU32::new(0));
                let is_running = Arc::new(Notify::new());
                let (counted, running) = (starts.clone(), is_running.clone());
                supervisor.spawn("task", $role, move || {
                    let (counted, running) = (counted.clone(), running.clone());
                    async move {
                        if counted.fetch_add(1, Ordering::Relaxed) < 2 {
                            $end
                        } else {
                            running.notify_one();
                            std::future::pending().await
                        }
                    }
                });
                while supervisor.ended_tasks().is_empty() {
                    tokio::task::yield_now().await;
                }
                assert_eq!(supervisor.ended_tasks(), ["task"]);
                assert_eq!(supervisor.is_serving(), $is_serving);
                is_running.notified().await;
                assert_eq!(supervisor.ended_tasks(), Vec::<&str>::new());
                assert!(supervisor.is_serving());
                assert_eq!(starts.load(Ordering::Relaxed), 3);
                assert_eq!(supervisor.ends.with_label_values(&["task"]).get(), 2);
            });
        }
    )*};
}

// Guards against a box that looks sound although nothing does the work of one of its tasks.
ends! {
    a_serving_task_that_panics: TaskRole::Serving, panic!("broken") => serving false;
    a_serving_task_that_returns: TaskRole::Serving, () => serving false;
    an_auxiliary_task_that_panics: TaskRole::Auxiliary, panic!("broken") => serving true;
}

// Guards against one panic that fails every later request.
#[test]
fn a_lock_is_usable_after_its_holder_panicked() {
    let shared = Arc::new(Mutex::new(1));
    let held = shared.clone();
    let holder = std::thread::spawn(move || {
        let _guard = lock(&held);
        panic!("broken");
    });
    assert!(holder.join().is_err());
    assert_eq!(*lock(&shared), 1);
}
