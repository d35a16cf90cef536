//! Creation of sessions.

use ivyweir_caller::Reply;
use ivyweir_policy::token::Session;
use ivyweir_policy::{Code, Refusal, VersionRef};
use serde_json::json;

use crate::clock::Clock;
use crate::context::Context;
use crate::route;

/// Opens a session that is pinned to one version of each model that the workspace may use.
///
/// # Errors
///
/// If no session key exists yet, or the workspace may use no model.
pub fn open(context: &Context<'_>) -> Result<Reply, Refusal> {
    let node = context.node;
    let config = &context.current.config;
    let key = config
        .session_keys
        .last()
        .ok_or_else(|| Refusal::not_run(Code::StaleConfig, "there is no session key yet"))?;
    let nonce = node.unique_name();
    let versions: Vec<VersionRef> = config
        .models
        .keys()
        .filter_map(|model| route::pick_version(context, config, &context.workspace, model, &nonce))
        .filter(|version| config.permits(&context.workspace, version))
        .collect();
    if versions.is_empty() {
        return Err(Refusal::not_run(
            Code::ModelNotFound,
            "the workspace may use no model",
        ));
    }
    let expires_ms = Clock::epoch_ms() + node.settings.limits.session_ms;
    let session = Session {
        key_id: key.id.clone(),
        workspace: context.workspace.clone(),
        nonce,
        versions,
        box_name: node.incarnation.box_name.clone(),
        incarnation: node.incarnation.number,
        expires_ms,
    };
    let body = json!({
        "object": "session",
        "session": session.to_signed_token(key),
        "expires_ms": expires_ms,
        "versions": session.versions.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    Ok(Reply::json(200, body.to_string().into_bytes()))
}
