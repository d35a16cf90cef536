//! Applies intents to a configuration, and digests the parts of it that an intent depends on.

use serde::Serialize;

use crate::plan::Change;
use crate::{
    Config, Error, ErrorKind, Event, Intent, Model, Name, Result, Rollout, RolloutState,
    SessionKey, Version, VersionRef, VersionState, Workspace, rollout,
};

/// Result of applying an intent: the new configuration, with its changes and effects.
///
/// Plan ids are digests over the texts of changes and effects, so these texts must stay stable.
pub(crate) struct Outcome {
    pub(crate) config: Config,
    pub(crate) changes: Vec<Change>,
    pub(crate) effects: Vec<String>,
}

impl Outcome {
    fn add_change(&mut self, path: impl Into<String>, becomes: impl Into<String>) {
        self.changes.push(Change {
            path: path.into(),
            becomes: becomes.into(),
        });
    }

    fn add_effect(&mut self, text: impl Into<String>) {
        self.effects.push(text.into());
    }
}

/// Applies an intent to a copy of `config`.
///
/// # Errors
///
/// Returns an error if the intent is not valid for the configuration.
pub(crate) fn apply_intent(config: &Config, intent: &Intent) -> Result<Outcome> {
    let mut outcome = Outcome {
        config: config.clone(),
        changes: Vec::new(),
        effects: Vec::new(),
    };
    match intent {
        Intent::CreateEvent {
            name,
            start_ms,
            workspaces,
        } => create_event(&mut outcome, name, *start_ms, workspaces)?,
        Intent::AddVersion {
            at,
            cost_micro_per_ktoken,
            prior_quality,
        } => add_version(&mut outcome, at, *cost_micro_per_ktoken, *prior_quality)?,
        Intent::SetCurrent { at } => set_current(&mut outcome, at)?,
        Intent::PutWorkspace { name, workspace } => put_workspace(&mut outcome, name, workspace)?,
        Intent::PutPool { name, pool } => {
            outcome.config.pools.insert(name.clone(), pool.clone());
            outcome.add_change(format!("pools.{name}"), to_json(pool));
        }
        Intent::PutOperator { name, operator } => {
            outcome
                .config
                .operators
                .insert(name.clone(), operator.clone());
            outcome.add_change(format!("operators.{name}.role"), to_json(&operator.role));
        }
        Intent::Roll { .. } => start_rollout(&mut outcome, intent)?,
        Intent::Halt { rollout, reason } => halt_rollout(&mut outcome, rollout, reason)?,
        Intent::Withdraw { at } => withdraw_version(&mut outcome, at)?,
        Intent::Step {
            rollout,
            share_permille,
            at_ms,
        } => step_rollout(&mut outcome, rollout, *share_permille, *at_ms)?,
        Intent::RotateSessionKey {
            key,
            drop_before_ms,
        } => rotate_session_key(&mut outcome, key, *drop_before_ms),
    }
    Ok(outcome)
}

fn create_event(
    outcome: &mut Outcome,
    name: &Name,
    start_ms: u64,
    workspaces: &[Name],
) -> Result<()> {
    if outcome.config.events.contains_key(name) {
        return Err(Error::new(
            ErrorKind::AlreadyExists,
            format!("event {name}"),
        ));
    }
    for workspace in workspaces {
        require_workspace(&outcome.config, workspace)?;
    }
    let event = Event {
        start_ms,
        workspaces: workspaces.to_vec(),
    };
    outcome.add_change(format!("events.{name}"), to_json(&event));
    outcome.config.events.insert(name.clone(), event);
    Ok(())
}

fn add_version(
    outcome: &mut Outcome,
    at: &VersionRef,
    cost_micro_per_ktoken: u64,
    prior_quality: f64,
) -> Result<()> {
    check_unit_interval("prior_quality", prior_quality)?;
    let model = outcome
        .config
        .models
        .entry(at.model.clone())
        .or_insert_with(|| Model {
            current: at.version.clone(),
            ..Model::default()
        });
    if model.versions.contains_key(&at.version) {
        return Err(Error::new(
            ErrorKind::AlreadyExists,
            format!("version {at}"),
        ));
    }
    let version = Version {
        cost_micro_per_ktoken,
        prior_quality,
        state: VersionState::Active,
    };
    let text = to_json(&version);
    model.versions.insert(at.version.clone(), version);
    outcome.add_change(format!("models.{}.versions.{}", at.model, at.version), text);
    outcome.add_effect(format!("{at} takes no work until a workspace allows it"));
    Ok(())
}

fn set_current(outcome: &mut Outcome, at: &VersionRef) -> Result<()> {
    require_active(&outcome.config, at)?;
    let model = outcome
        .config
        .models
        .get_mut(&at.model)
        .expect("version found");
    model.current = at.version.clone();
    outcome.add_change(format!("models.{}.current", at.model), at.version.as_ref());
    outcome.add_effect(format!(
        "new sessions of {} use {at}; open ones keep theirs",
        at.model
    ));
    Ok(())
}

fn put_workspace(outcome: &mut Outcome, name: &Name, workspace: &Workspace) -> Result<()> {
    check_unit_interval("quality_target", workspace.quality_target)?;
    if workspace.weight == 0 {
        return Err(Error::new(
            ErrorKind::Invalid,
            "weight 0, expected 1 or more",
        ));
    }
    for at in &workspace.allowed {
        if outcome.config.version(at).is_none() {
            return Err(Error::new(ErrorKind::NotFound, format!("version {at}")));
        }
    }
    let allowed: Vec<String> = workspace.allowed.iter().map(|v| v.to_string()).collect();
    outcome.add_change(format!("workspaces.{name}.allowed"), allowed.join(" "));
    outcome.add_change(
        format!("workspaces.{name}.quality_target"),
        workspace.quality_target.to_string(),
    );
    outcome.add_change(
        format!("workspaces.{name}.weight"),
        workspace.weight.to_string(),
    );
    outcome.add_effect(format!(
        "requests of {name} run only on the versions listed"
    ));
    outcome
        .config
        .workspaces
        .insert(name.clone(), workspace.clone());
    Ok(())
}

fn start_rollout(outcome: &mut Outcome, intent: &Intent) -> Result<()> {
    let Intent::Roll {
        workspace,
        to,
        target_permille,
        start_ms,
        until_ms,
        steps,
        guard,
    } = intent
    else {
        unreachable!("called only for `Intent::Roll`")
    };
    require_active(&outcome.config, to)?;
    let workspace_entry = require_workspace(&outcome.config, workspace)?;
    if !workspace_entry.allowed.contains(to) {
        let text = format!("version {to} for workspace {workspace}, allow it first");
        return Err(Error::new(ErrorKind::Invalid, text));
    }
    if *target_permille > 1_000 || *steps == 0 || until_ms <= start_ms {
        let text =
            "roll-out, expected a share of at most 1000, 1 step or more, an end after its start";
        return Err(Error::new(ErrorKind::Invalid, text));
    }
    let id = rollout::rollout_id(workspace, &to.model);
    let from_permille = rollout::share_permille(&outcome.config, &id, &to.version);
    let span = target_permille.saturating_sub(from_permille);
    let rollout = Rollout {
        workspace: workspace.clone(),
        model: to.model.clone(),
        to: to.version.clone(),
        share_permille: from_permille.min(*target_permille),
        target_permille: *target_permille,
        step_permille: span.div_ceil(*steps).max(1),
        step_interval_ms: (until_ms - start_ms) / u64::from(*steps),
        stepped_ms: *start_ms,
        until_ms: *until_ms,
        state: RolloutState::Running,
        guard: guard.clone(),
    };
    outcome.add_change(format!("rollouts.{id}"), to_json(&rollout));
    outcome.add_effect(format!(
        "new sessions of {workspace} move to {to} in steps of {}/1000 every {} ms, to {target_permille}/1000",
        rollout.step_permille, rollout.step_interval_ms
    ));
    outcome.add_effect("open sessions keep their version");
    outcome.config.rollouts.insert(id, rollout);
    Ok(())
}

fn halt_rollout(outcome: &mut Outcome, id: &Name, reason: &str) -> Result<()> {
    let rollout = require_rollout(&mut outcome.config, id)?;
    rollout.state = RolloutState::Halted;
    rollout.share_permille = 0;
    let to = VersionRef::new(rollout.model.clone(), rollout.to.clone());
    outcome.add_change(format!("rollouts.{id}.state"), format!("halted ({reason})"));
    outcome.add_effect(format!(
        "new sessions no longer use {to}; open ones keep it"
    ));
    Ok(())
}

fn withdraw_version(outcome: &mut Outcome, at: &VersionRef) -> Result<()> {
    let Some(model) = outcome.config.models.get_mut(&at.model) else {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("model {}", at.model),
        ));
    };
    let Some(version) = model.versions.get_mut(&at.version) else {
        return Err(Error::new(ErrorKind::NotFound, format!("version {at}")));
    };
    version.state = VersionState::Withdrawn;
    let was_current = model.current == at.version;
    let successor = model
        .versions
        .iter()
        .rev()
        .find(|(_, v)| v.state == VersionState::Active)
        .map(|(name, _)| name.clone());
    if let (true, Some(next)) = (was_current, &successor) {
        model.current = next.clone();
    }
    outcome.add_change(
        format!("models.{}.versions.{}.state", at.model, at.version),
        "withdrawn",
    );
    outcome.add_effect(format!(
        "{at} receives no new work; its open sessions are refused"
    ));
    match (was_current, successor) {
        (true, Some(next)) => {
            outcome.add_change(format!("models.{}.current", at.model), next.as_ref())
        }
        (true, None) => outcome.add_effect(format!("{} has no version left", at.model)),
        (false, _) => {}
    }
    halt_rollouts_to(outcome, at);
    Ok(())
}

fn halt_rollouts_to(outcome: &mut Outcome, at: &VersionRef) {
    let ids: Vec<Name> = outcome
        .config
        .rollouts
        .iter()
        .filter(|(_, r)| r.model == at.model && r.to == at.version)
        .map(|(id, _)| id.clone())
        .collect();
    for id in ids {
        halt_rollout(outcome, &id, "version withdrawn").expect("the roll-out exists");
    }
}

fn step_rollout(outcome: &mut Outcome, id: &Name, share_permille: u32, at_ms: u64) -> Result<()> {
    let rollout = require_rollout(&mut outcome.config, id)?;
    if rollout.state != RolloutState::Running {
        return Err(Error::new(
            ErrorKind::Invalid,
            format!("roll-out {id}, not running"),
        ));
    }
    rollout.share_permille = share_permille.min(rollout.target_permille);
    rollout.stepped_ms = at_ms;
    if rollout.share_permille == rollout.target_permille {
        rollout.state = RolloutState::Done;
    }
    let share = rollout.share_permille.to_string();
    outcome.add_change(format!("rollouts.{id}.share_permille"), share);
    Ok(())
}

fn rotate_session_key(outcome: &mut Outcome, key: &SessionKey, drop_before_ms: u64) {
    let keys = &mut outcome.config.session_keys;
    keys.retain(|k| k.created_ms >= drop_before_ms);
    keys.push(key.clone());
    outcome.add_change("session_keys", format!("signed by {} from now on", key.id));
    outcome.add_effect("open sessions stay valid until they expire");
}

/// Returns a digest of the parts of `config` that `intent` reads or writes.
pub(crate) fn footprint(config: &Config, intent: &Intent) -> Name {
    let parts = match intent {
        Intent::CreateEvent { name, .. } => to_json(&config.events.get(name)),
        Intent::AddVersion { at, .. } => {
            let version = config.version(at);
            to_json(&(config.models.contains_key(&at.model), version))
        }
        Intent::SetCurrent { at } => to_json(&config.models.get(&at.model)),
        Intent::PutWorkspace { name, workspace } => {
            let versions: Vec<_> = workspace
                .allowed
                .iter()
                .map(|v| config.version(v))
                .collect();
            to_json(&(config.workspaces.get(name), versions))
        }
        Intent::PutPool { name, .. } => to_json(&config.pools.get(name)),
        Intent::PutOperator { name, .. } => to_json(&config.operators.get(name)),
        Intent::Roll { workspace, to, .. } => {
            let id = rollout::rollout_id(workspace, &to.model);
            let allowed = config.workspaces.get(workspace).map(|w| &w.allowed);
            to_json(&(
                config.models.get(&to.model),
                allowed,
                config.rollouts.get(&id),
            ))
        }
        Intent::Halt { rollout, .. } | Intent::Step { rollout, .. } => {
            to_json(&config.rollouts.get(rollout))
        }
        Intent::Withdraw { at } => {
            let rollouts: Vec<_> = config
                .rollouts
                .iter()
                .filter(|(_, r)| r.model == at.model)
                .map(|(id, r)| (id, &r.to, r.state))
                .collect();
            to_json(&(config.models.get(&at.model), rollouts))
        }
        Intent::RotateSessionKey { .. } => to_json(&config.session_keys),
    };
    blake3::hash(parts.as_bytes()).to_hex()[..32].into()
}

fn to_json<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).expect("configuration parts serialize to JSON")
}

fn require_workspace<'a>(config: &'a Config, name: &str) -> Result<&'a Workspace> {
    config
        .workspaces
        .get(name)
        .ok_or_else(|| Error::new(ErrorKind::NotFound, format!("workspace {name}")))
}

fn require_rollout<'a>(config: &'a mut Config, id: &str) -> Result<&'a mut Rollout> {
    config
        .rollouts
        .get_mut(id)
        .ok_or_else(|| Error::new(ErrorKind::NotFound, format!("roll-out {id}")))
}

fn require_active(config: &Config, at: &VersionRef) -> Result<()> {
    match config.version(at).map(|v| v.state) {
        None => Err(Error::new(ErrorKind::NotFound, format!("version {at}"))),
        Some(VersionState::Withdrawn) => Err(Error::new(
            ErrorKind::Invalid,
            format!("version {at}, withdrawn"),
        )),
        Some(VersionState::Active) => Ok(()),
    }
}

fn check_unit_interval(field: &str, value: f64) -> Result<()> {
    if (0.0..=1.0).contains(&value) {
        Ok(())
    } else {
        Err(Error::new(
            ErrorKind::Invalid,
            format!("{field} {value}, expected 0 to 1"),
        ))
    }
}
