//! Ordering and text representation of store revisions.

use ivyweir_policy::gateway::revision::Revision;
use proptest::prelude::*;

macro_rules! order_cases {
    ($($name:ident: $earlier:expr, $later:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!($earlier < $later);
        }
    )*};
}

order_cases! {
    a_higher_number_in_the_same_era_is_greater: Revision::new(1, 16), Revision::new(1, 24);
    a_later_era_outranks_a_higher_number: Revision::new(1, 24), Revision::unsettled(2, 16);
    a_settled_revision_is_greater_than_an_unsettled_one: Revision::unsettled(1, 24), Revision::new(1, 16);
    zero_is_first: Revision::default(), Revision::new(0, 1);
}

proptest! {
    #[test]
    fn parsing_reverses_display(era: u64, is_settled: bool, number: u64) {
        let revision = Revision { era, is_settled, number };
        prop_assert_eq!(revision.to_string().parse(), Ok(revision));
    }
}

#[test]
fn a_revision_is_serialized_as_a_string() {
    let revision = Revision::new(2, 17);
    let text = serde_json::to_string(&revision).expect("valid JSON");
    assert_eq!(text, r#""2.17""#);
    assert_eq!(serde_json::from_str::<Revision>(&text).ok(), Some(revision));
}

#[test]
fn invalid_text_is_rejected() {
    for text in ["", ".", "1.", ".1", "1.x", "1.2.3", "-1.2", "~.1", "1~~.2"] {
        assert!(text.parse::<Revision>().is_err(), "{text}");
    }
}
