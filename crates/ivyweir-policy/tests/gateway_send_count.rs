//! Sends of a request, counted over the boxes that it passes through.

use ivyweir_policy::Name;
use ivyweir_policy::gateway::send_count::SendCount;

fn name(upstream: &str) -> Name {
    upstream.into()
}

macro_rules! grants {
    ($($name:ident: sent $sent:expr, limit $limit:expr, repeatable $is_repeatable:expr => $granted:expr;)*) => {$(
        #[test]
        fn $name() {
            let count = SendCount::new($sent, $limit, Vec::new());
            assert_eq!(count.grant($is_repeatable), $granted);
        }
    )*};
}

grants! {
    one_of_three_is_kept_back: sent 0, limit 3, repeatable true => 2;
    one_of_two_is_kept_back: sent 1, limit 3, repeatable true => 2;
    the_last_is_not: sent 2, limit 3, repeatable true => 3;
    an_only_one_is_not: sent 0, limit 1, repeatable true => 1;
    a_request_is_sent_once_at_least: sent 0, limit 0, repeatable true => 1;
    none_is_where_nothing_may_be_repeated: sent 0, limit 3, repeatable false => 3;
}

/// What another box does with a request.
#[derive(Clone, Copy)]
enum Box {
    /// All its upstreams reject.
    Rejects,
    /// It is lost with the request.
    Lost,
}

macro_rules! fleets {
    ($($name:ident: limit $limit:expr, asks $boxes:expr => sends $sends:expr;)*) => {$(
        /// Counts the sends of a request that boxes are asked to serve, one after another.
        #[test]
        fn $name() {
            let mut count = SendCount::new(0, $limit, Vec::new());
            let mut sends = Vec::new();
            for (number, asked) in $boxes.into_iter().enumerate() {
                if count.is_used_up() {
                    break;
                }
                let granted = count.grant(true);
                let rejected = count.rejected().to_vec();
                let mut other = SendCount::new(count.sent(), granted, rejected);
                while !other.is_used_up() {
                    let upstream = name(&format!("{number}-{}", sends.len()));
                    sends.push(upstream.clone());
                    other.record_rejection(&upstream);
                }
                match asked {
                    Box::Rejects => count.merge(other.sent(), other.rejected().to_vec()),
                    Box::Lost => count.use_grant(granted),
                }
            }
            assert_eq!(sends.len(), $sends);
            assert!(count.is_used_up());
        }
    )*};
}

fleets! {
    eight_boxes_that_reject_send_three_times: limit 3, asks [Box::Rejects; 8] => sends 3;
    eight_boxes_that_are_lost_send_three_times: limit 3, asks [Box::Lost; 8] => sends 3;
    a_box_that_is_lost_and_one_that_rejects_send_twice: limit 2, asks [Box::Lost, Box::Rejects, Box::Rejects] => sends 2;
    a_route_of_one_send_is_sent_once: limit 1, asks [Box::Rejects; 8] => sends 1;
}

#[test]
fn reports_that_come_twice_are_counted_once() {
    let mut count = SendCount::new(0, 3, Vec::new());
    count.merge(2, [name("a"), name("b")]);
    count.merge(2, [name("b"), name("a")]);
    assert_eq!(count.sent(), 2);
    assert_eq!(count.rejected(), [name("a"), name("b")]);
    count.forget_rejections();
    assert!(count.rejected().is_empty() && !count.is_used_up());
}
