//! Values that a box derives from the bounds set by operators.

use ivyweir_gateway::Bounds;

const BOUNDS: Bounds = Bounds {
    hall_drain_ms: None,
    leaving_ms: 2_000,
    config_ms: 2_000,
    revoke_ms: 5_000,
    stop_grace_s: 8.0,
    repeat_ratio: 0.9,
    repeat_slack: 60.0,
    repeat_window_s: 10.0,
};

macro_rules! slack_tests {
    ($($name:ident: $boxes:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = BOUNDS.retry_limits($boxes);
            let fleet_slack = limits.slack * f64::from($boxes as u32);
            assert!(fleet_slack <= BOUNDS.repeat_slack + 1e-9, "{fleet_slack} of {}", BOUNDS.repeat_slack);
            assert!(limits.ratio < BOUNDS.repeat_ratio);
        }
    )*};
}

slack_tests! {
    one_box_keeps_to_the_slack: 1;
    seven_boxes_keep_to_the_slack: 7;
    twenty_boxes_keep_to_the_slack: 20;
    three_hundred_boxes_keep_to_the_slack: 300;
    a_thousand_boxes_keep_to_the_slack: 1_000;
}

#[test]
fn a_loss_of_the_store_is_noticed_in_time_for_both_bounds() {
    for (leaving_ms, revoke_ms, unrenewed_ms) in [
        (2_000, 5_000, 1_400),
        (4_000, 5_000, 2_000),
        (4_000, 20_000, 2_800),
        (60_000, 1_000, 400),
    ] {
        let bounds = Bounds {
            leaving_ms,
            revoke_ms,
            ..BOUNDS
        };
        assert_eq!(bounds.proof_renewal_timeout_ms(), unrenewed_ms);
        assert!(bounds.root_read_interval_ms() < unrenewed_ms);
    }
}
