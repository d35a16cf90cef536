//! Promises that a request has not run, by what became of its sends.

use ivyweir_policy::gateway::promise::{Basis, ConnectionUse, NotRun, SendLedger};
use proptest::prelude::*;

fn rejected() -> NotRun {
    NotRun::Rejected {
        upstream: "u".into(),
        status: 503,
        connection: ConnectionUse {
            local_port: 4_000,
            requests: 2,
        },
    }
}

fn declined() -> NotRun {
    NotRun::Declined { name: "b".into() }
}

/// What becomes of a send; `None` if nothing is known of it.
type Outcome = Option<NotRun>;

fn ledger(outcomes: &[Outcome]) -> SendLedger {
    let mut ledger = SendLedger::default();
    for outcome in outcomes {
        ledger.begin();
        if let Some(shown_by) = outcome {
            ledger.settle(shown_by.clone());
        }
    }
    ledger
}

macro_rules! promises {
    ($($name:ident: $($outcome:expr),* => $basis:expr;)*) => {$(
        #[test]
        fn $name() {
            let ledger = ledger(&[$($outcome),*]);
            assert_eq!(ledger.basis(), $basis);
            assert_eq!(ledger.may_have_run(), ledger.basis().is_none());
        }
    )*};
}

promises! {
    a_request_that_was_not_sent_is_promised: => Some(Basis::NoSend);
    one_of_which_nothing_was_written_is_promised: Some(NotRun::NotWritten) => Some(Basis::NoSend);
    one_that_was_rejected_is_promised: Some(rejected()), Some(rejected()) => Some(Basis::Rejections);
    one_that_another_box_declined_is_promised: Some(declined()), Some(rejected()) => Some(Basis::OtherBoxes);
    one_whose_send_has_no_outcome_is_not_promised: None => None;
    a_later_rejection_promises_nothing_of_an_earlier_send: None, Some(rejected()) => None;
    an_earlier_rejection_promises_nothing_of_a_later_send: Some(rejected()), None => None;
    another_box_promises_nothing_of_this_ones_sends: None, Some(declined()) => None;
}

fn outcomes() -> impl Strategy<Value = Vec<Outcome>> {
    let outcome = prop_oneof![
        Just(None),
        Just(Some(NotRun::NotWritten)),
        Just(Some(rejected())),
        Just(Some(declined())),
    ];
    prop::collection::vec(outcome, 0..8)
}

proptest! {
    #[test]
    fn there_is_a_promise_only_if_each_send_has_an_outcome(outcomes in outcomes()) {
        let ledger = ledger(&outcomes);
        prop_assert_eq!(ledger.basis().is_some(), outcomes.iter().all(Option::is_some));
        let shown = outcomes.iter().flatten().filter(|shown_by| **shown_by != NotRun::NotWritten);
        prop_assert_eq!(ledger.settled().len(), shown.count());
    }
}
