//! Plans: concurrent changes, rebasing, signatures, withdrawals and roll-outs.

use ivyweir_policy::{
    Config, ErrorKind, Guard, Intent, MAX_AUDIT_ENTRIES, Name, Plan, RolloutState, VersionRef,
    Workspace, rollout, take_excess_audit_entries,
};
use proptest::prelude::*;

const KEY: &[u8] = b"fleet key";

fn version_ref(text: &str) -> VersionRef {
    text.parse().expect("model@version")
}

fn add_version(text: &str) -> Intent {
    Intent::AddVersion {
        at: version_ref(text),
        cost_micro_per_ktoken: 100,
        prior_quality: 0.5,
    }
}

fn put_workspace(name: &str) -> Intent {
    let workspace = Workspace {
        key_hash: "00".into(),
        quality_target: 0.5,
        weight: 1,
        allowed: vec![version_ref("m@v1"), version_ref("m@v2")],
        services: vec![],
    };
    Intent::PutWorkspace {
        name: name.into(),
        workspace,
    }
}

fn roll_out(permille: u32) -> Intent {
    Intent::Roll {
        workspace: "x".into(),
        to: version_ref("m@v2"),
        target_permille: permille,
        start_ms: 1_000,
        until_ms: 5_000,
        steps: 4,
        guard: Guard::default(),
    }
}

fn create_event(name: &str) -> Intent {
    Intent::CreateEvent {
        name: name.into(),
        start_ms: 1,
        workspaces: vec![],
    }
}

fn apply(config: &Config, intent: Intent) -> Config {
    let plan = Plan::create(config, intent, KEY).expect("valid intent");
    plan.apply(config, "ann", 7).expect("no conflicting change")
}

fn base_config() -> Config {
    [
        add_version("m@v1"),
        add_version("m@v2"),
        put_workspace("x"),
        put_workspace("y"),
    ]
    .into_iter()
    .fold(Config::default(), |config, intent| apply(&config, intent))
}

macro_rules! concurrent_change_tests {
    ($($name:ident: $planned:expr, $concurrent:expr => $conflicts:literal;)*) => {
        $(#[test] fn $name() {
            let config = base_config();
            let plan = Plan::create(&config, $planned, KEY).expect("valid intent");
            let current_config = apply(&config, $concurrent);
            let outcome = plan.apply(&current_config, "ben", 9);
            let conflicts = outcome.as_ref().is_err_and(|e| e.kind() == ErrorKind::Conflict);
            assert_eq!(conflicts, $conflicts, "{outcome:?}");
            if let Ok(next) = outcome {
                assert_eq!(next.generation, current_config.generation + 1);
                assert!(plan.is_applied(&next));
            }
        })*
    };
}

concurrent_change_tests! {
    an_unrelated_event_is_rebased: Intent::Withdraw { at: version_ref("m@v2") }, create_event("drop") => false;
    another_workspace_is_rebased: roll_out(500), put_workspace("y") => false;
    a_withdrawn_version_moves_a_roll: roll_out(500), Intent::Withdraw { at: version_ref("m@v2") } => true;
    a_roll_moves_a_withdrawal: Intent::Withdraw { at: version_ref("m@v2") }, roll_out(500) => true;
    two_rolls_of_one_model_collide: roll_out(500), roll_out(300) => true;
    a_new_version_moves_a_withdrawal: Intent::Withdraw { at: version_ref("m@v1") }, add_version("m@v3") => true;
}

macro_rules! rejected_intent_tests {
    ($($name:ident: $intent:expr => $kind:ident;)*) => {
        $(#[test] fn $name() {
            let error = Plan::create(&base_config(), $intent, KEY).expect_err("the intent must be rejected");
            assert_eq!(error.kind(), ErrorKind::$kind, "{error}");
        })*
    };
}

rejected_intent_tests! {
    an_unknown_version: Intent::Withdraw { at: version_ref("m@v9") } => NotFound;
    an_unknown_model: Intent::Withdraw { at: version_ref("n@v1") } => NotFound;
    a_version_twice: add_version("m@v1") => AlreadyExists;
    a_share_over_all: roll_out(1_001) => Invalid;
    an_unknown_rollout: Intent::Halt { rollout: "x.n".into(), reason: "r".into() } => NotFound;
    an_event_of_nobody: Intent::CreateEvent {
        name: "e".into(), start_ms: 1, workspaces: vec!["z".into()],
    } => NotFound;
}

#[test]
fn a_plan_that_was_altered_or_is_foreign_is_forged() {
    let plan = Plan::create(&base_config(), create_event("drop"), KEY).expect("valid intent");
    plan.verify(KEY).expect("the signature is valid");
    let mut altered = plan.clone();
    altered.intent = create_event("other");
    for (plan, key) in [(&altered, KEY), (&plan, b"another key".as_slice())] {
        assert_eq!(
            plan.verify(key).map_err(|e| e.kind()),
            Err(ErrorKind::BadSignature)
        );
    }
}

#[test]
fn withdrawing_halts_roll_outs_and_moves_the_current_version() {
    let config = apply(&base_config(), roll_out(500));
    let config = apply(
        &config,
        Intent::Withdraw {
            at: version_ref("m@v2"),
        },
    );
    assert_eq!(config.rollouts["x.m"].state, RolloutState::Halted);
    assert!(!config.permits("x", &version_ref("m@v2")));
    let config = apply(
        &base_config(),
        Intent::Withdraw {
            at: version_ref("m@v1"),
        },
    );
    assert_eq!(config.models["m"].current.as_ref(), "v2");
}

#[test]
fn a_roll_out_steps_to_its_share_and_catches_up_at_its_end() {
    let mut config = apply(&base_config(), roll_out(400));
    let id: Name = "x.m".into();
    let no_observations = rollout::Observation {
        rated: 0,
        mean_quality: 0.0,
        done: 0,
        failed: 0,
    };
    let mut shares = Vec::new();
    for now_ms in [1_500, 2_000, 2_500, 3_000, 5_000] {
        if let Some(step) =
            rollout::next_intent(&id, &config.rollouts[&id], no_observations, now_ms)
        {
            config = apply(&config, step);
        }
        shares.push(config.rollouts[&id].share_permille);
    }
    assert_eq!(shares, [0, 100, 100, 200, 400]);
    assert_eq!(config.rollouts[&id].state, RolloutState::Done);
    let failing = rollout::Observation {
        rated: 0,
        mean_quality: 0.0,
        done: 40,
        failed: 20,
    };
    let halt = rollout::next_intent(&id, &config.rollouts[&id], failing, 6_000);
    assert!(matches!(halt, Some(Intent::Halt { .. })), "{halt:?}");
}

#[test]
fn the_split_follows_the_share_and_does_not_move_a_nonce_back() {
    let mut config = apply(&base_config(), roll_out(1_000));
    let rolled = |config: &Config, nonce: &str| {
        let resolved = rollout::resolve_version(config, "x", "m", nonce).expect("the model exists");
        resolved.version.as_ref() == "v2"
    };
    let mut before = vec![false; 2_000];
    for share in [100, 300, 700, 1_000] {
        config
            .rollouts
            .get_mut("x.m")
            .expect("the roll-out exists")
            .share_permille = share;
        let now: Vec<bool> = (0..2_000)
            .map(|n| rolled(&config, &n.to_string()))
            .collect();
        let count = now.iter().filter(|r| **r).count() as i64;
        assert!(
            (count - i64::from(share) * 2).abs() < 120,
            "{count} of 2000 nonces on v2 at a share of {share} permille"
        );
        assert!(before.iter().zip(&now).all(|(before, now)| *now || !before));
        before = now;
    }
}

#[test]
fn old_audit_entries_are_split_off_and_none_is_lost() {
    let mut config = base_config();
    let mut archived = Vec::new();
    for n in 0..MAX_AUDIT_ENTRIES * 2 {
        config = apply(&config, create_event(&format!("e{n}")));
        archived.extend(take_excess_audit_entries(&mut config));
    }
    assert!(config.audit.len() <= MAX_AUDIT_ENTRIES);
    assert_eq!(config.archived_entries, archived.len() as u64);
    archived.extend(config.audit);
    let generations: Vec<u64> = archived.iter().map(|e| e.generation).collect();
    assert_eq!(generations, (1..=config.generation).collect::<Vec<u64>>());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _must_not_panic = Config::from_slice(&bytes);
        let _must_not_panic = serde_json::from_slice::<Plan>(&bytes);
        if let Ok(text) = std::str::from_utf8(&bytes) {
            let _must_not_panic = text.parse::<VersionRef>();
        }
    }

    #[test]
    fn a_configuration_survives_writing_and_reading(steps in prop::collection::vec(0_u8..6, 0..12)) {
        let mut config = base_config();
        for (n, step) in steps.into_iter().enumerate() {
            let intent = match step {
                0 => create_event(&format!("e{n}")),
                1 => add_version(&format!("m@w{n}")),
                2 => put_workspace("x"),
                3 => roll_out(n as u32 * 50),
                4 => Intent::Withdraw { at: version_ref("m@v2") },
                _ => Intent::SetCurrent { at: version_ref("m@v1") },
            };
            if let Ok(plan) = Plan::create(&config, intent, KEY) {
                config = plan.apply(&config, "ann", 1).expect("no conflicting change");
            }
        }
        prop_assert_eq!(Config::from_slice(&config.to_vec()).unwrap(), config);
    }
}
