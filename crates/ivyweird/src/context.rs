//! The context of a request: caller, session, metadata and deadline.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use ivyweir_caller::{Header, RequestMetadata};
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::freshness::Freshness;
use ivyweir_policy::token::Session;
use ivyweir_policy::{Code, ErrorKind, Name, Refusal, VersionRef};

use crate::clock::Clock;
use crate::config::ConfigSnapshot;
use crate::dispatcher::FleetSnapshot;
use crate::idempotency::{self, ClaimWriteOutcome};
use crate::node::Node;
use crate::version_stats::class_name;

/// Context of a request in progress.
pub struct Context<'a> {
    pub node: &'a Node,
    /// Configuration at the time the request arrived.
    pub current: Arc<ConfigSnapshot>,
    /// The caller's workspace.
    pub workspace: Name,
    /// Metadata that the caller set in headers.
    pub metadata: RequestMetadata,
    /// Session of the request, if it names one.
    pub session: Option<Session>,
    /// Idempotency key: the caller's, or a generated unique one.
    pub key: Name,
    /// Workspace and request class, under which quality is recorded.
    pub class: Name,
    /// Deadline of the answer, in milliseconds on this box's clock.
    pub deadline_ms: u64,
    /// Whether the key has been claimed or needs no claim.
    claimed: Cell<bool>,
    /// Whether the request may have been sent to an upstream.
    sent: Cell<bool>,
    /// Holder of the key's claim, if another request holds it.
    claim_holder: RefCell<Option<Incarnation>>,
}

/// Value of the first header named `name`, without regard to case.
pub fn header<'h>(headers: &'h [Header], name: &str) -> Option<&'h str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

impl<'a> Context<'a> {
    /// Parses the headers of a request and authenticates the caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal for a malformed header, an unknown caller key or an invalid session.
    pub fn new(node: &'a Node, headers: &[Header]) -> Result<Self, Refusal> {
        let metadata = RequestMetadata::from_headers(|name| header(headers, name))?;
        let current = node.current();
        let workspace = authenticate(&current, &metadata)?;
        let session = match &metadata.session {
            None => None,
            Some(token) => Some(verify_session(&current, token, &workspace)?),
        };
        if metadata.at_most_once && metadata.request_key.is_none() {
            let text = "Idempotency-Key: required with X-Ivyweir-Repeatable: no";
            return Err(Refusal::not_run(Code::KeyRequired, text));
        }
        let request_key = metadata.request_key.as_deref().map(Name::from);
        let key = request_key.unwrap_or_else(|| node.unique_name());
        let arrived_ms = node.clock.now_ms();
        Ok(Self {
            class: class_name(&workspace, &metadata.class),
            deadline_ms: arrived_ms + metadata.deadline_ms,
            claimed: Cell::new(!metadata.at_most_once),
            sent: Cell::new(false),
            claim_holder: RefCell::new(None),
            node,
            current,
            workspace,
            metadata,
            session,
            key,
        })
    }

    /// Nonce that determines the side of every roll-out split: the session's, or else the key.
    pub fn nonce(&self) -> &str {
        self.session.as_ref().map_or(&self.key, |s| &s.nonce)
    }

    /// Time remaining until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.node.clock.now_ms())
    }

    /// Current time and fleet size, for dispatch decisions.
    pub fn fleet_snapshot(&self) -> FleetSnapshot {
        FleetSnapshot {
            now_ms: self.node.clock.now_ms(),
            live_boxes: self.node.live_boxes(),
        }
    }

    /// Weight of the workspace in fair scheduling.
    pub fn weight(&self) -> u32 {
        let workspace = self.current.config.workspaces.get(&self.workspace);
        workspace.map_or(1, |w| w.weight)
    }

    /// The box incarnation that is the authority for this request's key, if it runs at most once.
    pub fn opener(&self) -> Incarnation {
        match &self.session {
            None => self.node.opener(),
            Some(session) => Incarnation {
                box_name: session.box_name.clone(),
                number: session.incarnation,
            },
        }
    }

    /// Checks against the latest configuration, not that of arrival, that the workspace may send
    /// new requests to `version`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the version is withdrawn or not allowed.
    pub fn check_permitted(&self, version: &VersionRef) -> Result<(), Refusal> {
        if self.node.current().config.permits(&self.workspace, version) {
            return Ok(());
        }
        let text = format!("{version} is withdrawn or no longer allowed");
        Err(self.adjust_refusal(Refusal::not_run(Code::VersionWithdrawn, text)))
    }

    /// Claims the key if necessary and marks the request as sent. Must be called immediately
    /// before anything is sent to an upstream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request must not run.
    pub fn prepare_send(&self) -> Result<(), Refusal> {
        if !self.claimed.get() {
            self.claim()?;
            self.claimed.set(true);
        }
        assert!(
            !self.metadata.at_most_once || !self.sent.get(),
            "invariant: a request that must run at most once is sent only once"
        );
        self.sent.set(true);
        Ok(())
    }

    /// Marks the request as not run. Must be called only if the upstream certainly did not accept
    /// it.
    pub fn mark_not_run(&self) {
        if self.metadata.at_most_once {
            self.sent.set(false);
        }
    }

    /// Whether an upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.sent.get()
    }

    /// Turns "not run" into "unknown" in a refusal if an upstream may have run the request.
    pub fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        if !self.sent.get() {
            return refusal;
        }
        Refusal::unknown(refusal.code, refusal.message)
    }

    /// Holder of the key's claim, if the claim failed because another request holds it.
    pub fn claim_holder(&self) -> Option<Incarnation> {
        self.claim_holder.borrow().clone()
    }

    fn claim(&self) -> Result<(), Refusal> {
        if self.session.is_some() && self.node.freshness() != Freshness::Fresh {
            // The store is unavailable; the session's authority ensures at-most-once execution.
            return Ok(());
        }
        let nonce: Name = match &self.session {
            // Stable within the session, so that a repeat claims the same key again, whichever box
            // is the authority.
            Some(session) => format!("s/{}", session.nonce).into(),
            None => self.node.unique_name(),
        };
        match idempotency::claim_key(self.node, &self.workspace, &self.key, &nonce) {
            ClaimWriteOutcome::Granted => Ok(()),
            ClaimWriteOutcome::Taken(holder) => {
                let text = format!(
                    "the idempotency key was already used on box {}",
                    holder.box_name
                );
                self.claim_holder.replace(Some(holder));
                Err(Refusal::unknown(Code::Duplicate, text))
            }
            // While the store is unavailable, the session's authority is sufficient.
            ClaimWriteOutcome::NotWritten if self.session.is_some() => Ok(()),
            ClaimWriteOutcome::NotWritten => {
                let text =
                    "the claim could not be written; use a session to continue without the store";
                let refusal = Refusal::not_run(Code::ClaimUnavailable, text);
                Err(refusal.with_retry_after(CLAIM_RETRY_AFTER_MS))
            }
        }
    }
}

const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

fn authenticate(current: &ConfigSnapshot, metadata: &RequestMetadata) -> Result<Name, Refusal> {
    let unauthenticated = |text| Refusal::not_run(Code::Unauthenticated, text);
    let key = metadata
        .caller_key
        .as_deref()
        .ok_or_else(|| unauthenticated("Authorization: expected Bearer and a workspace key"))?;
    let hash = blake3::hash(key.as_bytes());
    let found = current.config.workspace_by_key(&hash);
    found
        .map(|(name, _)| name.clone())
        .ok_or_else(|| unauthenticated("Authorization: no workspace has this key"))
}

fn verify_session(
    current: &ConfigSnapshot,
    token: &str,
    workspace: &str,
) -> Result<Session, Refusal> {
    let keys = &current.config.session_keys;
    Session::from_signed_token(token, keys, workspace, Clock::epoch_ms()).map_err(|e| {
        let code = match e.kind() {
            ErrorKind::Expired => Code::SessionExpired,
            _ => Code::SessionInvalid,
        };
        Refusal::not_run(code, e.to_string())
    })
}
