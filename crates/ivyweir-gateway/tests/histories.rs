//! What a box passes on of the store's records, and when it sends those that ask away.

use ivyweir_gateway::dialect::Topic;
use ivyweir_gateway::history::{Asker, Behind, HeardFrom, Histories, NoSource};

/// How a box that hears the configuration from the store, and knows nothing of it yet, answers.
fn answer(histories: &Histories, asker: Asker) -> Result<bool, NoSource> {
    histories.set_from(Topic::Site, HeardFrom::Store);
    let behind = histories.behind(Topic::Site, 0, asker)?;
    Ok(behind.is_some())
}

macro_rules! answers {
    ($($name:ident: $store:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let histories = Histories::default();
            for answers in $store {
                histories.set_store_answers(answers);
            }
            for asker in [Asker::Follower, Asker::Relay] {
                assert_eq!(answer(&histories, asker), $expected);
            }
        }
    )*};
}

const UNTRIED: [bool; 0] = [];

answers! {
    a_box_that_waits_for_the_first_answer_says_so: UNTRIED => Err(NoSource::NotYet);
    a_box_that_the_store_answers_is_a_source: [true] => Ok(false);
    a_box_that_the_store_does_not_answer_sends_away: [false] => Err(NoSource::ForNow);
    a_box_that_lost_the_store_sends_away: [true, false] => Err(NoSource::ForNow);
    a_box_that_regained_the_store_is_a_source: [false, true] => Ok(false);
}

#[test]
fn who_knows_nothing_gets_what_was_last_heard() {
    let histories = Histories::default();
    histories.set_from(Topic::Site, HeardFrom::Store);
    histories.restart(Topic::Site, 7);
    histories.set_store_answers(false);
    let behind = histories.behind(Topic::Site, 0, Asker::Relay);
    assert!(matches!(behind, Ok(Some(Behind::Whole(7)))));
}
