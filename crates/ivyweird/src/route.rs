//! Routing: which versions may answer a request, and which of them is called.

use ivyweir_caller::ChatRequest;
use ivyweir_policy::hash::hash64;
use ivyweir_policy::model_selection::{self, Candidate, Choice, Constraints};
use ivyweir_policy::version_health;
use ivyweir_policy::{Code, Config, Name, Refusal, VersionRef, VersionState, rollout};

use crate::context::Context;
use crate::settings::ModelSetting;

/// Model alias with which the caller leaves the choice of the model to the router.
pub const AUTO_MODEL: &str = "auto";

/// Number of leading prompt characters that the prefix hash covers.
const PREFIX_CHARS: usize = 256;
/// Minimum time to the deadline for a route with a second call.
const MIN_CASCADE_TIME_MS: u64 = 5_000;

/// The route of a chat request.
#[derive(Debug, Clone)]
pub struct Route {
    /// Versions that may answer the request.
    pub candidates: Vec<Candidate>,
    /// Which candidates are called.
    pub choice: Choice,
    /// Hash of the workspace and the start of the prompt, for prefix affinity.
    pub prefix: u64,
}

impl Route {
    /// The candidate that is called first.
    pub fn first(&self) -> &Candidate {
        match self.choice {
            Choice::Single(index) | Choice::Cascade { first: index, .. } => &self.candidates[index],
        }
    }
}

/// Finds the route of a chat request.
///
/// # Errors
///
/// Returns a refusal if no version may answer. Nothing has been sent then.
pub fn find(context: &Context<'_>, request: &ChatRequest) -> Result<Route, Refusal> {
    let versions = match request.model.as_str() {
        AUTO_MODEL => versions_of_all_models(context)?,
        name if name.contains('@') => vec![named_version(context, name)?],
        name => vec![version_of_model(context, name)?],
    };
    let candidates: Vec<Candidate> = versions
        .iter()
        .map(|version| candidate(context, version))
        .collect();
    check_any_healthy(context, &candidates)?;
    let choice = choose(context, request, &candidates)?;
    Ok(Route {
        prefix: prefix_hash(context, request),
        candidates,
        choice,
    })
}

fn prefix_hash(context: &Context<'_>, request: &ChatRequest) -> u64 {
    let prompt = request.prompt();
    let start: String = prompt.chars().take(PREFIX_CHARS).collect();
    hash64(&[context.workspace.as_bytes(), start.as_bytes()])
}

/// One version of each model that the workspace may use.
fn versions_of_all_models(context: &Context<'_>) -> Result<Vec<VersionRef>, Refusal> {
    let config = &context.current.config;
    let versions: Vec<VersionRef> = config
        .models
        .keys()
        .filter_map(|model| version_of_model(context, model).ok())
        .collect();
    if versions.is_empty() {
        // The refusal of the first model gives a more specific reason than a general one.
        let first = config.models.keys().next();
        first.map_or(Ok(()), |model| version_of_model(context, model).map(drop))?;
        return Err(Refusal::not_run(
            Code::ModelNotFound,
            "the workspace is not allowed to use any model",
        ));
    }
    Ok(versions)
}

/// The version that `name` gives as `MODEL@VERSION`. A session accepts only its pinned version.
fn named_version(context: &Context<'_>, name: &str) -> Result<VersionRef, Refusal> {
    let version: VersionRef = name
        .parse()
        .map_err(|e| Refusal::not_run(Code::ModelNotFound, format!("model: {e}")))?;
    let pinned = context
        .session
        .as_ref()
        .and_then(|s| s.version_of(&version.model));
    if pinned.is_some_and(|pinned| *pinned != version) {
        let text = format!(
            "the session is pinned to another version of {}",
            version.model
        );
        return Err(Refusal::not_run(Code::Forbidden, text));
    }
    check_permitted(context, version)
}

/// The version of `model` for this request: the one pinned by the session, or a picked one.
fn version_of_model(context: &Context<'_>, model: &str) -> Result<VersionRef, Refusal> {
    if let Some(session) = &context.session {
        let pinned = session.version_of(model).cloned();
        let text = || format!("the session has no pinned version of {model}");
        let pinned = pinned.ok_or_else(|| Refusal::not_run(Code::Forbidden, text()))?;
        return check_permitted(context, pinned);
    }
    let config = &context.current.config;
    let version = pick_version(context, config, &context.workspace, model, context.nonce())
        .ok_or_else(|| Refusal::not_run(Code::ModelNotFound, format!("no model named {model}")))?;
    check_permitted(context, version)
}

/// Picks the version of `model` for a new session or single request.
///
/// The split of a roll-out decides. If its version is unhealthy, withdrawn or not allowed, another
/// version of the model takes its place: the first permitted healthy one, else the first permitted
/// one. If no version is permitted, that of the split is returned; callers check the permission.
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
    let by_preference: Vec<VersionRef> =
        [split.clone(), current].into_iter().chain(others).collect();
    let is_permitted = |version: &&VersionRef| config.permits(workspace, version);
    let healthy = by_preference
        .iter()
        .filter(is_permitted)
        .find(|version| !is_bad(context, version));
    let permitted = by_preference.iter().find(is_permitted);
    Some(healthy.or(permitted).cloned().unwrap_or(split))
}

/// Whether the guard is on and the version is currently judged bad.
fn is_bad(context: &Context<'_>, version: &VersionRef) -> bool {
    let node = context.node;
    node.settings.policy.guard
        && node
            .version_stats
            .is_bad(&version.to_string(), node.clock.now_ms())
}

/// Checks that the workspace may use `version`, and returns it.
fn check_permitted(context: &Context<'_>, version: VersionRef) -> Result<VersionRef, Refusal> {
    let config = &context.current.config;
    if config.permits(&context.workspace, &version) {
        return Ok(version);
    }
    let refusal = match config.version(&version).map(|v| v.state) {
        None => Refusal::not_run(Code::ModelNotFound, format!("no version {version}")),
        Some(VersionState::Withdrawn) => {
            Refusal::not_run(Code::VersionWithdrawn, format!("{version} is withdrawn"))
        }
        Some(VersionState::Active) => Refusal::not_run(
            Code::Forbidden,
            format!("the workspace is not allowed to use {version}"),
        ),
    };
    Err(refusal)
}

fn candidate(context: &Context<'_>, version: &VersionRef) -> Candidate {
    let entry = context
        .current
        .config
        .version(version)
        .expect("the version was checked");
    let now_ms = context.node.clock.now_ms();
    Candidate {
        cost_micro_per_ktoken: entry.cost_micro_per_ktoken,
        prior_quality: entry.prior_quality,
        buckets: context
            .node
            .version_stats
            .by_bucket(version, &context.class, now_ms),
        is_bad: is_bad(context, version),
        version: version.clone(),
    }
}

/// Refuses a request whose candidates are all judged bad.
///
/// A small share of such requests passes as probes, which show whether a version has recovered.
fn check_any_healthy(context: &Context<'_>, candidates: &[Candidate]) -> Result<(), Refusal> {
    let all_bad = candidates.iter().all(|c| c.is_bad);
    if !all_bad || version_health::may_probe(random_permille()) {
        return Ok(());
    }
    let names: Vec<String> = candidates.iter().map(|c| c.version.to_string()).collect();
    let text = format!(
        "suspended as bad, with no alternative for this request: {}",
        names.join(", ")
    );
    let seed = hash64(&[context.key.as_bytes()]);
    let retry_after_ms =
        ivyweir_policy::retry::jittered_retry_after_ms(SUSPENDED_RETRY_AFTER_MS, seed);
    Err(Refusal::not_run(Code::VersionSuspended, text).with_retry_after(retry_after_ms))
}

const SUSPENDED_RETRY_AFTER_MS: u64 = 5_000;

fn random_permille() -> u32 {
    rand::random_range(0..1_000)
}

fn choose(
    context: &Context<'_>,
    request: &ChatRequest,
    candidates: &[Candidate],
) -> Result<Choice, Refusal> {
    let settings = &context.node.settings.policy;
    let by_cost = |index: &usize| candidates[*index].cost_micro_per_ktoken;
    let all = 0..candidates.len();
    match settings.model {
        ModelSetting::Strong => return Ok(Choice::Single(all.max_by_key(by_cost).unwrap_or(0))),
        ModelSetting::Cheap => return Ok(Choice::Single(all.min_by_key(by_cost).unwrap_or(0))),
        ModelSetting::Target => {}
    }
    let workspace = context.current.config.workspaces.get(&context.workspace);
    let constraints = Constraints {
        quality_target: workspace.map_or(1.0, |w| w.quality_target),
        may_cascade: settings.cascade
            && !request.stream
            && !context.metadata.at_most_once
            && context.remaining_ms() >= MIN_CASCADE_TIME_MS,
    };
    if let Some(choice) = model_selection::explore(candidates, constraints, random_permille()) {
        return Ok(choice);
    }
    model_selection::select(candidates, constraints).ok_or_else(|| {
        Refusal::not_run(
            Code::ModelNotFound,
            "the workspace is not allowed to use any model",
        )
    })
}

/// Model ids that a workspace may request: models, `MODEL@VERSION` and the alias `auto`.
pub fn model_ids(config: &Config, workspace: &Name) -> Vec<String> {
    let Some(entry) = config.workspaces.get(workspace) else {
        return Vec::new();
    };
    let usable: Vec<&VersionRef> = entry
        .allowed
        .iter()
        .filter(|version| config.permits(workspace, version))
        .collect();
    let mut ids: Vec<String> = usable
        .iter()
        .map(|version| version.model.to_string())
        .collect();
    ids.extend(usable.iter().map(|version| version.to_string()));
    if !usable.is_empty() {
        ids.push(AUTO_MODEL.to_owned());
    }
    ids.sort();
    ids.dedup();
    ids
}
