//! Which versions may answer a request, and which does.

use ivyweir_caller::ChatRequest;
use ivyweir_policy::hash::hash64;
use ivyweir_policy::model_selection::{self, Candidate, Choice, Constraints};
use ivyweir_policy::version_health;
use ivyweir_policy::{Code, Config, Name, Refusal, VersionRef, VersionState, rollout};

use crate::context::Context;
use crate::settings::ModelSetting;

/// The alias that leaves the model to the system.
pub const AUTO: &str = "auto";

/// Characters of the prompt that calls with a common prefix share.
const PREFIX_CHARS: usize = 256;
/// A second call is tried only with this much time left.
const CASCADE_LEFT_MS: u64 = 5_000;

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Route {
    /// The versions that may answer.
    pub candidates: Vec<Candidate>,
    /// Which of them does.
    pub choice: Choice,
    /// Hash of what calls with a common prefix share.
    pub prefix: u64,
}

impl Route {
    /// The candidate that is called first.
    pub fn first(&self) -> &Candidate {
        match self.choice {
            Choice::Single(at) | Choice::Cascade { first: at, .. } => &self.candidates[at],
        }
    }
}

/// Finds the route of a chat request.
///
/// # Errors
///
/// A refusal; nothing was sent.
pub fn find(context: &Context<'_>, request: &ChatRequest) -> Result<Route, Refusal> {
    let versions = match request.model.as_str() {
        AUTO => all_models(context)?,
        name if name.contains('@') => vec![concrete(context, name)?],
        name => vec![of_model(context, name)?],
    };
    let candidates: Vec<Candidate> = versions.iter().map(|at| candidate(context, at)).collect();
    check_not_bad(context, &candidates)?;
    let choice = choose_one(context, request, &candidates)?;
    Ok(Route {
        prefix: prefix(context, request),
        candidates,
        choice,
    })
}

fn prefix(context: &Context<'_>, request: &ChatRequest) -> u64 {
    let prompt = request.prompt();
    let shared: String = prompt.chars().take(PREFIX_CHARS).collect();
    hash64(&[context.workspace.as_bytes(), shared.as_bytes()])
}

/// One version for each model that the workspace may use.
fn all_models(context: &Context<'_>) -> Result<Vec<VersionRef>, Refusal> {
    let config = &context.current.config;
    let versions: Vec<VersionRef> = config
        .models
        .keys()
        .filter_map(|model| of_model(context, model).ok())
        .collect();
    if versions.is_empty() {
        // A single model says best why it is refused.
        let only = config.models.keys().next();
        only.map_or(Ok(()), |model| of_model(context, model).map(drop))?;
        return Err(Refusal::not_run(
            Code::ModelNotFound,
            "the workspace may use no model",
        ));
    }
    Ok(versions)
}

fn concrete(context: &Context<'_>, name: &str) -> Result<VersionRef, Refusal> {
    let at: VersionRef = name
        .parse()
        .map_err(|e| Refusal::not_run(Code::ModelNotFound, format!("model: {e}")))?;
    let pinned = context
        .session
        .as_ref()
        .and_then(|s| s.version_of(&at.model));
    if pinned.is_some_and(|pinned| *pinned != at) {
        let text = format!("the session keeps another version of {}", at.model);
        return Err(Refusal::not_run(Code::Forbidden, text));
    }
    checked(context, at)
}

fn of_model(context: &Context<'_>, model: &str) -> Result<VersionRef, Refusal> {
    if let Some(session) = &context.session {
        let pinned = session.version_of(model).cloned();
        let text = || format!("the session has no version of {model}");
        let pinned = pinned.ok_or_else(|| Refusal::not_run(Code::Forbidden, text()))?;
        return checked(context, pinned);
    }
    let config = &context.current.config;
    let at = pick_version(context, config, &context.workspace, model, context.nonce())
        .ok_or_else(|| Refusal::not_run(Code::ModelNotFound, format!("no model {model}")))?;
    checked(context, at)
}

/// The version of `model` for a new session or single request.
///
/// The split of a roll-out decides; a version that is bad, withdrawn or not allowed gives way to
/// another one of the model that is neither.
pub fn pick_version(
    context: &Context<'_>,
    config: &Config,
    workspace: &str,
    model: &str,
    nonce: &str,
) -> Option<VersionRef> {
    let split = rollout::resolve_version(config, workspace, model, nonce)?;
    let entry = config.models.get(model)?;
    let current = VersionRef::new(model, entry.current.clone());
    let others = entry
        .versions
        .keys()
        .rev()
        .map(|v| VersionRef::new(model, v.clone()));
    let in_order: Vec<VersionRef> = [split.clone(), current].into_iter().chain(others).collect();
    let permitted = |at: &&VersionRef| config.permits(workspace, at);
    let good = in_order
        .iter()
        .filter(permitted)
        .find(|at| !is_bad(context, at));
    let any = in_order.iter().find(permitted);
    Some(good.or(any).cloned().unwrap_or(split))
}

fn is_bad(context: &Context<'_>, at: &VersionRef) -> bool {
    let node = context.node;
    node.settings.policy.guard && node.learning.is_bad(&at.to_string(), node.clock.now_ms())
}

/// Checks that the workspace may use `at`.
fn checked(context: &Context<'_>, at: VersionRef) -> Result<VersionRef, Refusal> {
    let config = &context.current.config;
    if config.permits(&context.workspace, &at) {
        return Ok(at);
    }
    let refusal = match config.version(&at).map(|v| v.state) {
        None => Refusal::not_run(Code::ModelNotFound, format!("no version {at}")),
        Some(VersionState::Withdrawn) => {
            Refusal::not_run(Code::VersionWithdrawn, format!("{at} is withdrawn"))
        }
        Some(VersionState::Active) => {
            Refusal::not_run(Code::Forbidden, format!("the workspace may not use {at}"))
        }
    };
    Err(refusal)
}

fn candidate(context: &Context<'_>, at: &VersionRef) -> Candidate {
    let version = context
        .current
        .config
        .version(at)
        .expect("the version was checked");
    let now_ms = context.node.clock.now_ms();
    Candidate {
        cost_micro_per_ktoken: version.cost_micro_per_ktoken,
        prior_quality: version.prior_quality,
        buckets: context.node.learning.by_bucket(at, &context.class, now_ms),
        is_bad: is_bad(context, at),
        version: at.clone(),
    }
}

/// Refuses where only bad versions are left, but for a few that find out whether they still are.
fn check_not_bad(context: &Context<'_>, candidates: &[Candidate]) -> Result<(), Refusal> {
    let all_bad = candidates.iter().all(|c| c.is_bad);
    if !all_bad || version_health::may_probe(draw_permille()) {
        return Ok(());
    }
    let names: Vec<String> = candidates.iter().map(|c| c.version.to_string()).collect();
    let text = format!(
        "{} is held to be bad and there is no other",
        names.join(", ")
    );
    let seed = hash64(&[context.key.as_bytes()]);
    let hint_ms = ivyweir_policy::retry::jittered_retry_after_ms(SUSPENDED_HINT_MS, seed);
    Err(Refusal::not_run(Code::VersionSuspended, text).with_retry_after(hint_ms))
}

const SUSPENDED_HINT_MS: u64 = 5_000;

fn draw_permille() -> u32 {
    rand::random_range(0..1_000)
}

fn choose_one(
    context: &Context<'_>,
    request: &ChatRequest,
    candidates: &[Candidate],
) -> Result<Choice, Refusal> {
    let settings = &context.node.settings.policy;
    let by_cost = |at: &usize| candidates[*at].cost_micro_per_ktoken;
    let all = 0..candidates.len();
    match settings.model {
        ModelSetting::Strong => return Ok(Choice::Single(all.max_by_key(by_cost).unwrap_or(0))),
        ModelSetting::Cheap => return Ok(Choice::Single(all.min_by_key(by_cost).unwrap_or(0))),
        ModelSetting::Target => {}
    }
    let workspace = context.current.config.workspaces.get(&context.workspace);
    let needs = Constraints {
        quality_target: workspace.map_or(1.0, |w| w.quality_target),
        may_cascade: settings.cascade
            && !request.stream
            && !context.marks.at_most_once
            && context.left_ms() >= CASCADE_LEFT_MS,
    };
    if let Some(choice) = model_selection::explore(candidates, needs, draw_permille()) {
        return Ok(choice);
    }
    model_selection::select(candidates, needs)
        .ok_or_else(|| Refusal::not_run(Code::ModelNotFound, "the workspace may use no model"))
}

/// All ids that a workspace may ask for.
pub fn model_ids(config: &Config, workspace: &Name) -> Vec<String> {
    let Some(entry) = config.workspaces.get(workspace) else {
        return Vec::new();
    };
    let usable: Vec<&VersionRef> = entry
        .allowed
        .iter()
        .filter(|at| config.permits(workspace, at))
        .collect();
    let mut ids: Vec<String> = usable.iter().map(|at| at.model.to_string()).collect();
    ids.extend(usable.iter().map(|at| at.to_string()));
    if !usable.is_empty() {
        ids.push(AUTO.to_owned());
    }
    ids.sort();
    ids.dedup();
    ids
}
