//! What the judge makes of single requests.

use std::time::Instant;

use ivyweir_standins::edge::{Fate, Handled, answer_text};
use serde_json::json;

use super::callers::Asked;
use super::judge::{Logs, Verdict};
use super::site::{ROUTES, route_of};

const RAN: Fate = Fate::Ran {
    is_client_gone: false,
};
const RAN_LATE: Fate = Fate::Ran {
    is_client_gone: true,
};
const REJECTED: Fate = Fate::Rejected(503);

fn handled(id: &str, fate: Fate) -> Handled {
    Handled {
        id: id.to_owned(),
        fate,
        at: Instant::now(),
        connection: 0,
        position: 1,
        upstream: "upstream".into(),
    }
}

fn asked(id: &str, status: u16, text: &str) -> Asked {
    let route = ROUTES.iter().find(|route| **route == route_of(id));
    Asked {
        id: id.to_owned(),
        route: route.expect("a route"),
        number: 0,
        status,
        text: text.to_owned(),
        is_complete: true,
        sent_at: Instant::now(),
        answered_at: Instant::now(),
    }
}

/// Number of faults of a request with this answer, if it had one, these fates, and this basis in the log.
fn faults(id: &str, answer: Option<(u16, &str)>, fates: &[Fate], basis: &str) -> usize {
    let handled: Vec<_> = fates.iter().map(|fate| handled(id, *fate)).collect();
    let asked: Vec<_> = answer
        .map(|(status, text)| asked(id, status, text))
        .into_iter()
        .collect();
    let mut logs = Logs::default();
    logs.add(
        0,
        &json!({"event": "promised_not_run", "request_id": id, "basis": basis}),
    );
    Verdict::new(&asked, &handled, &logs).faults.len()
}

macro_rules! judgements {
    ($($name:ident: $id:expr, $answer:expr, $fates:expr, $basis:expr => $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(faults($id, $answer, &$fates, $basis), $faults);
        }
    )*};
}

judgements! {
    a_rejected_request_may_be_promised_not_to_have_run:
        "unsafe-1", Some((503, "")), [REJECTED], "rejections" => 0;
    a_request_that_was_not_sent_may_be_promised_not_to_have_run:
        "unsafe-1", Some((408, "")), [], "no_send" => 0;
    a_request_that_ran_may_not_be_promised_not_to_have_run:
        "unsafe-1", Some((503, "")), [RAN], "other_boxes" => 1;
    a_request_that_ran_behind_its_client_may_not_be_promised_not_to_have_run:
        "once-1", Some((429, "")), [RAN_LATE], "other_boxes" => 1;
    a_request_that_ran_behind_a_rejection_may_not_be_promised_not_to_have_run:
        "unsafe3-1", Some((421, "")), [REJECTED, RAN], "rejections" => 1;
    a_request_that_may_be_repeated_may_be_refused_though_it_ran:
        "safe-1", Some((503, "")), [RAN], "other_boxes" => 0;
    a_lost_answer_says_nothing: "unsafe-1", Some((502, "")), [RAN], "" => 0;
    a_deadline_says_nothing: "unsafe-1", Some((504, "")), [RAN_LATE], "" => 0;
    a_request_may_not_run_twice:
        "once3-1", Some((502, "")), [RAN, RAN], "" => 1;
    a_request_whose_caller_left_may_not_run_twice: "unsafe2-1", None, [RAN, RAN_LATE], "" => 1;
    a_request_that_may_be_repeated_may_run_twice: "stream-1", None, [RAN, RAN], "" => 0;
    a_request_that_was_rejected_was_sent:
        "unsafe-1", Some((503, "")), [REJECTED], "no_send" => 1;
    a_request_that_was_not_handled_was_not_rejected:
        "unsafe-1", Some((503, "")), [], "rejections" => 1;
    a_request_that_no_caller_sent_may_not_run: "smuggled-unsafe-1", None, [RAN], "" => 1;
    a_request_without_an_id_may_not_run: "", None, [RAN], "" => 1;
    the_answer_of_another_request_is_none:
        "unsafe-1", Some((200, &answer_text("unsafe-2"))), [RAN], "" => 1;
    the_own_answer_is_one: "unsafe-1", Some((200, &answer_text("unsafe-1"))), [RAN], "" => 0;
}
