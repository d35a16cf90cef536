//! Formats responses as text tables.

use std::collections::BTreeMap;

use ivyweir_operator::{ConfirmReply, PlanCheck, Status};
use ivyweir_policy::billing::Bill;
use ivyweir_policy::{
    AuditEntry, Event, Model, Name, Plan, VersionState, Workspace, describe_intent,
};

use crate::time;

/// Formats rows under a header, with each column as wide as its widest cell.
fn table(header: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut widths: Vec<usize> = header.iter().map(|h| h.len()).collect();
    for row in &rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:width$}"))
            .collect();
        padded.join("  ").trim_end().to_owned() + "\n"
    };
    let mut text = line(header.to_vec());
    for row in &rows {
        text += &line(row.iter().map(String::as_str).collect());
    }
    text
}

/// Formats the state of the system as seen by one box.
pub fn status(status: &Status) -> String {
    let proof = status
        .proof_age_ms
        .map_or("none".into(), |ms| format!("{ms} ms old"));
    let mut text = format!(
        "seen from {}: generation {}, {}, proof {proof}\n\n",
        status.reporting_box, status.generation, status.freshness
    );
    let boxes = status.boxes.iter().map(|b| {
        vec![
            b.name.to_string(),
            b.hall.to_string(),
            b.health.clone(),
            b.generation.to_string(),
        ]
    });
    text += &table(&["BOX", "HALL", "HEALTH", "GENERATION"], boxes.collect());
    let upstreams = status.upstreams.iter().map(|u| {
        vec![
            u.name.to_string(),
            u.pool.to_string(),
            u.hall.to_string(),
            u.state.clone(),
            format!("{}+{}/{}", u.running, u.waiting, u.slots),
        ]
    });
    text += "\n";
    text += &table(
        &["UPSTREAM", "POOL", "HALL", "STATE", "LOAD"],
        upstreams.collect(),
    );
    let rollouts = status.rollouts.iter().map(|r| {
        let share = format!("{}/{}", r.share_permille, r.target_permille);
        vec![r.id.to_string(), r.to.clone(), share, r.state.clone()]
    });
    text += "\n";
    text += &table(&["ROLL-OUT", "TO", "SHARE", "STATE"], rollouts.collect());
    let exposure = status.exposure.iter().map(|e| {
        vec![
            e.version.to_string(),
            e.done.to_string(),
            e.failed.to_string(),
            e.rated.to_string(),
            format!("{:.3}", e.mean_quality),
            if e.bad { "bad".into() } else { String::new() },
        ]
    });
    text += "\n";
    let header = [
        "VERSION", "ANSWERS", "FAILED", "RATED", "QUALITY", "VERDICT",
    ];
    text + &table(&header, exposure.collect())
}

/// Formats the events.
pub fn events(events: &BTreeMap<Name, Event>) -> String {
    let rows = events.iter().map(|(name, e)| {
        let workspaces: Vec<&str> = e.workspaces.iter().map(|w| w.as_ref()).collect();
        vec![
            name.to_string(),
            time::format(e.start_ms),
            workspaces.join(" "),
        ]
    });
    table(&["EVENT", "START", "WORKSPACES"], rows.collect())
}

/// Formats models and their versions.
pub fn models(models: &BTreeMap<Name, Model>) -> String {
    let rows = models.iter().flat_map(|(model, entry)| {
        entry.versions.iter().map(move |(name, v)| {
            let state = match v.state {
                VersionState::Withdrawn => "withdrawn",
                VersionState::Active if entry.current == *name => "current",
                VersionState::Active => "active",
            };
            vec![
                format!("{model}@{name}"),
                v.cost_micro_per_ktoken.to_string(),
                v.prior_quality.to_string(),
                state.to_owned(),
            ]
        })
    });
    table(
        &["VERSION", "MICRO/KTOKEN", "QUALITY", "STATE"],
        rows.collect(),
    )
}

/// Formats workspaces and their quality targets.
pub fn workspaces(workspaces: &BTreeMap<Name, Workspace>) -> String {
    let rows = workspaces.iter().map(|(name, w)| {
        let allowed: Vec<String> = w.allowed.iter().map(ToString::to_string).collect();
        vec![
            name.to_string(),
            w.quality_target.to_string(),
            w.weight.to_string(),
            allowed.join(" "),
        ]
    });
    table(
        &["WORKSPACE", "TARGET", "WEIGHT", "ALLOWED"],
        rows.collect(),
    )
}

/// Formats the audit entries of accepted changes.
pub fn audit(entries: &[AuditEntry]) -> String {
    let rows = entries.iter().map(|e| {
        vec![
            e.generation.to_string(),
            time::format(e.at_ms),
            e.operator.to_string(),
            e.plan_id.to_string(),
            e.intent.clone(),
        ]
    });
    table(
        &["GENERATION", "WHEN", "WHO", "PLAN", "INTENT"],
        rows.collect(),
    )
}

/// Formats the bill of each workspace; costs are converted from millionths.
pub fn bill(bill: &Bill) -> String {
    let rows = bill.workspaces.iter().map(|(name, t)| {
        vec![
            name.to_string(),
            t.requests.to_string(),
            t.tokens.to_string(),
            format!("{:.6}", t.cost_micro as f64 / 1e6),
        ]
    });
    table(&["WORKSPACE", "REQUESTS", "TOKENS", "COST"], rows.collect())
}

/// Formats a plan.
pub fn plan(plan: &Plan) -> String {
    let mut text = format!(
        "plan {} on generation {}: {}\nchanges:\n",
        plan.id,
        plan.base_generation,
        describe_intent(&plan.intent)
    );
    for change in &plan.changes {
        text += &format!("  {change}\n");
    }
    text += "effects on live traffic:\n";
    for effect in &plan.effects {
        text += &format!("  {effect}\n");
    }
    text + "nothing changes until it is confirmed\n"
}

/// Formats the result of a plan check.
pub fn plan_check(check: &PlanCheck) -> String {
    let yes_no = |value: bool| if value { "yes" } else { "no" };
    format!(
        "genuine: {}, applied: {}, still fits: {}\n",
        yes_no(check.genuine),
        yes_no(check.applied),
        yes_no(check.applicable)
    )
}

/// Formats the response to a confirmation that applied a plan; empty for other responses.
pub fn confirm_reply(reply: &ConfirmReply) -> String {
    match reply {
        ConfirmReply::Applied {
            generation,
            rebased,
        } => {
            let suffix = if *rebased {
                ", rebased on changes made since the plan was created"
            } else {
                ""
            };
            format!("accepted as generation {generation}{suffix}\n")
        }
        ConfirmReply::AlreadyApplied { generation } => {
            format!("already accepted; generation {generation} is in force\n")
        }
        ConfirmReply::PlanOutdated { .. } | ConfirmReply::Unknown { .. } => String::new(),
    }
}
