//! Whose answer a response is.

use ivyweir_policy::gateway::answer_owner::{AnswerOwner, NamedRequest, SentRequests};

fn sent(ids: &[Option<&str>]) -> SentRequests {
    let mut requests = SentRequests::default();
    for id in ids {
        requests.record(*id);
    }
    requests
}

macro_rules! owners {
    ($($name:ident: sent $ids:expr, named $named:expr => $owner:ident;)*) => {$(
        #[test]
        fn $name() {
            let ids: &[Option<&str>] = &$ids;
            assert_eq!(sent(ids).owner_of_answer($named), AnswerOwner::$owner);
        }
    )*};
}

owners! {
    the_id_in_progress_is_current: sent [Some("a")], named NamedRequest::Id("a") => Current;
    the_id_in_progress_is_current_behind_others: sent [Some("a"), Some("b")], named NamedRequest::Id("b") => Current;
    an_earlier_id_is_surplus: sent [Some("a"), Some("b")], named NamedRequest::Id("a") => Surplus;
    an_id_of_another_connection_is_surplus: sent [Some("a"), Some("b")], named NamedRequest::Id("c") => Surplus;
    no_id_behind_another_request_is_surplus: sent [Some("a"), Some("b")], named NamedRequest::Missing => Surplus;
    an_empty_id_behind_another_request_is_surplus: sent [Some("a"), Some("b")], named NamedRequest::Id("") => Surplus;
    nothing_is_surplus_on_a_new_connection: sent [Some("a")], named NamedRequest::Id("b") => Unknown;
    no_id_is_unknown_on_a_new_connection: sent [Some("a")], named NamedRequest::Missing => Unknown;
    several_ids_are_unknown: sent [Some("a"), Some("b")], named NamedRequest::Several => Unknown;
    a_repeated_id_tells_nothing: sent [Some("a"), Some("b"), Some("a")], named NamedRequest::Id("a") => Unknown;
    an_answer_without_an_id_is_that_of_a_first_request_without_one: sent [None], named NamedRequest::Missing => Current;
    an_answer_without_an_id_tells_nothing_behind_another_such_request: sent [None, None], named NamedRequest::Missing => Unknown;
    an_answer_without_a_request_is_unknown: sent [], named NamedRequest::Id("a") => Unknown;
}

#[test]
fn a_request_is_told_apart_unless_its_id_was_used_before() {
    let requests = sent(&[Some("a"), None]);
    let told_apart = [Some("b"), Some(""), Some("a"), None].map(|id| requests.can_tell_apart(id));
    assert_eq!(told_apart, [true, true, false, false]);
}

/// Guards against memory that grows with the number of requests on a connection.
#[test]
fn ids_of_long_ago_are_forgotten() {
    let mut requests = sent(&[Some("first")]);
    for n in 0..1_000 {
        requests.record(Some(&n.to_string()));
    }
    assert!(requests.can_tell_apart(Some("first")));
    assert!(!requests.can_tell_apart(Some("990")));
    assert!(std::mem::size_of_val(&requests) < 64);
}
