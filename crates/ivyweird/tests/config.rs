//! Configuration: in force everywhere, never reverting, whatever the store does.

mod common;

use common::{at, event, spec, start, three};
use ivyweir_operator::ConfirmReply;
use ivyweir_policy::{Config, Intent};
use ivyweir_standins::{Fault, PlatformFaults, wait_until};

fn generations(world: &ivyweir_standins::Cluster) -> Vec<u64> {
    let up = 0..world.boxes.len();
    up.map(|at| world.operator(at).status().map_or(0, |s| s.generation))
        .collect()
}

#[test]
fn a_change_is_in_force_everywhere_although_the_store_loses_answers() {
    let world = three();
    world.platform.set_faults(PlatformFaults {
        lose_response_every: 2,
        delay_ms: 20,
        ..PlatformFaults::default()
    });
    let before = generations(&world)[0];
    for n in 0..6 {
        let generation = world.apply_intent(n % 3, &event(&format!("e{n}")));
        world.wait_for_generation(generation);
    }
    assert_eq!(
        generations(&world)[0],
        before + 6,
        "each plan is applied once"
    );
    let audit = world.operator(1).audit().expect("the audit can be read");
    let mut plans: Vec<_> = audit.iter().map(|e| e.plan_id.clone()).collect();
    plans.sort();
    plans.dedup();
    assert_eq!(plans.len(), audit.len(), "one entry for each plan");
    assert_eq!(
        audit.len() as u64,
        before + 6 - 1,
        "one entry for each change but the first"
    );
}

#[test]
fn a_raced_confirm_gets_a_fresh_plan_and_a_repeated_one_is_harmless() {
    let world = three();
    let (ann, ben) = (world.operator(0), world.operator(1));
    let withdraw = Intent::Withdraw { at: at("notes@v2") };
    let planned = ann.plan(&withdraw).expect("the intent fits");
    let rebased = ben.plan(&event("other")).expect("the intent fits");
    let set = ben
        .plan(&Intent::SetCurrent { at: at("notes@v2") })
        .expect("the intent fits");
    assert!(matches!(
        ben.confirm(&set),
        Ok(ConfirmReply::Applied { rebased: false, .. })
    ));
    let raced = ann.confirm(&planned).expect("the box answers");
    let ConfirmReply::PlanOutdated { new_plan: fresh } = raced else {
        panic!("the race is seen: {raced:?}");
    };
    let after_race = ann.config().expect("the box answers");
    assert!(after_race.is_active(&at("notes@v2")), "nothing changed");
    assert!(matches!(
        ben.confirm(&rebased),
        Ok(ConfirmReply::Applied { rebased: true, .. })
    ));
    assert!(matches!(
        ann.confirm(&fresh),
        Ok(ConfirmReply::Applied { .. })
    ));
    assert!(matches!(
        ann.confirm(&fresh),
        Ok(ConfirmReply::AlreadyApplied { .. })
    ));
    let mut altered = (*fresh).clone();
    altered.intent = event("slipped-in");
    assert_eq!(
        ann.confirm(&altered).expect_err("it is forged").status(),
        Some(403)
    );
}

#[test]
fn a_box_that_boots_without_the_store_takes_the_configuration_from_peers() {
    let mut world = start(ivyweir_standins::ClusterSpec {
        platform_proxies: true,
        ..spec(&["hall-a", "hall-b", "hall-c"])
    });
    world.kill_box(2);
    let generation = world.apply_intent(0, &event("while-away"));
    world.platform_proxies[2].set(Fault::Cut);
    world.specs[2].settings.seed_peers = vec![world.running_box(0).settings.peer_addr.clone()];
    world.start_box(2).expect("the box starts");
    let operator = world.operator(2);
    wait_until("the box has the configuration", || {
        operator.status().is_ok_and(|s| s.generation == generation)
    });
    wait_until("it serves", || world.running_box(2).is_ready());
    wait_until("it finds an engine", || {
        world.caller(2, "studio").chat("notes", "hello", 4).complete
    });
}

#[test]
fn a_store_that_is_set_back_does_not_set_boxes_back() {
    let world = three();
    let old = world.platform.object("config").expect("there is one");
    let generation = world.apply_intent(0, &Intent::Withdraw { at: at("notes@v2") });
    world.wait_for_generation(generation);
    world.platform.restore("config", old);
    wait_until("the store is repaired", || {
        let body = world.platform.object("config").expect("there is one");
        Config::from_slice(&body).is_ok_and(|c| c.generation >= generation)
    });
    assert!(generations(&world).iter().all(|g| *g >= generation));
    let refused = world.caller(1, "studio").chat("notes@v2", "x", 4);
    assert_eq!(
        (refused.code.as_str(), refused.run.as_str()),
        ("version_withdrawn", "not_run")
    );
    let next = world.apply_intent(2, &event("after"));
    assert_eq!(next, generation + 1);
}

#[test]
fn a_box_cut_off_refuses_and_in_a_store_outage_all_serve_on() {
    let world = start(ivyweir_standins::ClusterSpec {
        platform_proxies: true,
        peer_proxies: true,
        ..spec(&["hall-a", "hall-b", "hall-c"])
    });
    let chat = |at: usize| world.caller(at, "studio").chat("notes", "hello", 4);
    // The store is out for all, and stays out for longer than a proof lasts.
    world.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    wait_until("all know that the store is out", || {
        (0..3).all(|at| {
            world
                .operator(at)
                .status()
                .is_ok_and(|s| s.freshness == "store_out")
        })
    });
    for at in 0..3 {
        assert!(chat(at).complete, "served in the outage");
    }
    world.platform.set_faults(PlatformFaults::default());
    wait_until("all see the store again", || {
        (0..3).all(|at| {
            world
                .operator(at)
                .status()
                .is_ok_and(|s| s.freshness == "fresh")
        })
    });
    // One box loses the store, and nobody hears anybody.
    world.platform_proxies[2].set(Fault::Cut);
    for gateway in &world.peer_proxies {
        gateway.set(Fault::Cut);
    }
    wait_until("the box cut off stops", || !world.running_box(2).is_ready());
    let refused = chat(2);
    assert_eq!(
        (refused.code.as_str(), refused.run.as_str()),
        ("stale_config", "not_run")
    );
    assert!(chat(0).complete, "a box that sees the store serves on");
    let change = world
        .operator(0)
        .plan(&event("alone"))
        .expect("the intent fits");
    let alone = world
        .operator(0)
        .confirm(&change)
        .expect_err("it hears no majority");
    assert_eq!(alone.status(), Some(503));
    world.platform_proxies[2].set(Fault::None);
    for gateway in &world.peer_proxies {
        gateway.set(Fault::None);
    }
    wait_until("it serves again", || chat(2).complete);
}
