//! A request with all that decides about it: who calls, in which session, until when.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use ivyweir_caller::{Header, Marks};
use ivyweir_policy::claim::Incarnation;
use ivyweir_policy::freshness::Freshness;
use ivyweir_policy::token::Session;
use ivyweir_policy::{Code, ErrorKind, Name, Refusal, VersionRef};

use crate::clock::Clock;
use crate::config::ConfigSnapshot;
use crate::gate::Moment;
use crate::idempotency::{self, ClaimResult};
use crate::node::Node;
use crate::version_stats::class_name;

/// A request in progress.
pub struct Context<'a> {
    /// The box.
    pub node: &'a Node,
    /// The configuration when the request came.
    pub current: Arc<ConfigSnapshot>,
    /// The caller's workspace.
    pub workspace: Name,
    /// What the caller said in headers.
    pub marks: Marks,
    /// The session, if there is one.
    pub session: Option<Session>,
    /// The request's key: the caller's, or one that no other request has.
    pub key: Name,
    /// Class of request, with the workspace.
    pub class: Name,
    /// When its answer is of no use any more, by this box's clock.
    pub deadline_ms: u64,
    /// Whether its claim is in the store, or need not be.
    claimed: Cell<bool>,
    /// Whether something may have left for an upstream.
    sent: Cell<bool>,
    /// Who holds the key's claim, if that is somebody else.
    taken_by: RefCell<Option<Incarnation>>,
}

/// A header's value among many.
pub fn header<'h>(headers: &'h [Header], name: &str) -> Option<&'h str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

impl<'a> Context<'a> {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// A refusal for a bad header, key or session.
    pub fn new(node: &'a Node, headers: &[Header]) -> Result<Self, Refusal> {
        let marks = Marks::from_headers(|name| header(headers, name))?;
        let current = node.current();
        let workspace = authenticate(&current, &marks)?;
        let session = match &marks.session {
            None => None,
            Some(token) => Some(open_session(&current, token, &workspace)?),
        };
        if marks.at_most_once && marks.request_key.is_none() {
            let text = "Idempotency-Key: expected with X-Ivyweir-Repeatable: no";
            return Err(Refusal::not_run(Code::KeyRequired, text));
        }
        let given = marks.request_key.as_deref().map(Name::from);
        let key = given.unwrap_or_else(|| node.unique());
        let arrived_ms = node.clock.now_ms();
        Ok(Self {
            class: class_name(&workspace, &marks.class),
            deadline_ms: arrived_ms + marks.deadline_ms,
            claimed: Cell::new(!marks.at_most_once),
            sent: Cell::new(false),
            taken_by: RefCell::new(None),
            node,
            current,
            workspace,
            marks,
            session,
            key,
        })
    }

    /// What decides the side of every roll-out.
    pub fn nonce(&self) -> &str {
        self.session.as_ref().map_or(&self.key, |s| &s.nonce)
    }

    /// Time left.
    pub fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.node.clock.now_ms())
    }

    /// Now, with what choices need.
    pub fn moment(&self) -> Moment {
        Moment {
            now_ms: self.node.clock.now_ms(),
            live_boxes: self.node.live_boxes(),
        }
    }

    /// The workspace's weight.
    pub fn weight(&self) -> u32 {
        let workspace = self.current.config.workspaces.get(&self.workspace);
        workspace.map_or(1, |w| w.weight)
    }

    /// The box that answers for this request's key, if it runs at most once.
    pub fn opener(&self) -> Incarnation {
        match &self.session {
            None => self.node.opener(),
            Some(session) => Incarnation {
                box_name: session.box_name.clone(),
                number: session.incarnation,
            },
        }
    }

    /// Checks, on the configuration of now, that the workspace may send new work to `at`.
    ///
    /// # Errors
    ///
    /// A refusal that says why not.
    pub fn check_permitted(&self, at: &VersionRef) -> Result<(), Refusal> {
        if self.node.current().config.permits(&self.workspace, at) {
            return Ok(());
        }
        let text = format!("{at} is withdrawn or no longer allowed");
        Err(self.refuse(Refusal::not_run(Code::VersionWithdrawn, text)))
    }

    /// To be called just before anything leaves for an upstream.
    ///
    /// # Errors
    ///
    /// A refusal when the request must not run.
    pub fn before_send(&self) -> Result<(), Refusal> {
        if !self.claimed.get() {
            self.claim()?;
            self.claimed.set(true);
        }
        assert!(
            !self.marks.at_most_once || !self.sent.get(),
            "invariant: a request that is not repeatable is sent once"
        );
        self.sent.set(true);
        Ok(())
    }

    /// To be called when it is certain that the upstream did not take the request.
    pub fn nothing_ran(&self) {
        if self.marks.at_most_once {
            self.sent.set(false);
        }
    }

    /// Whether something may have run.
    pub fn may_have_run(&self) -> bool {
        self.sent.get()
    }

    /// The refusal as it must be told: "not run" only if nothing may have run.
    pub fn refuse(&self, refusal: Refusal) -> Refusal {
        if !self.sent.get() {
            return refusal;
        }
        Refusal::unknown(refusal.code, refusal.message)
    }

    /// Who holds the key's claim, if that turned out to be somebody else.
    pub fn claim_holder(&self) -> Option<Incarnation> {
        self.taken_by.borrow().clone()
    }

    fn claim(&self) -> Result<(), Refusal> {
        if self.session.is_some() && self.node.sight() != Freshness::Fresh {
            // The store is out, and the session's authority is enough.
            return Ok(());
        }
        let nonce: Name = match &self.session {
            // The same for a repeat in the same session, whichever box holds the authority.
            Some(session) => format!("s/{}", session.nonce).into(),
            None => self.node.unique(),
        };
        match idempotency::claim_key(self.node, &self.workspace, &self.key, &nonce) {
            ClaimResult::Granted => Ok(()),
            ClaimResult::Taken(holder) => {
                let text = format!("the key was used at {}", holder.box_name);
                self.taken_by.replace(Some(holder));
                Err(Refusal::unknown(Code::Duplicate, text))
            }
            // The session's authority is enough while the store is out.
            ClaimResult::NotWritten if self.session.is_some() => Ok(()),
            ClaimResult::NotWritten => {
                let text =
                    "the claim could not be written; use a session to go on without the store";
                let refusal = Refusal::not_run(Code::ClaimUnavailable, text);
                Err(refusal.with_retry_after(CLAIM_HINT_MS))
            }
        }
    }
}

const CLAIM_HINT_MS: u64 = 2_000;

fn authenticate(current: &ConfigSnapshot, marks: &Marks) -> Result<Name, Refusal> {
    let unauthenticated = |text| Refusal::not_run(Code::Unauthenticated, text);
    let key = marks
        .caller_key
        .as_deref()
        .ok_or_else(|| unauthenticated("Authorization: expected Bearer and a workspace key"))?;
    let hash = blake3::hash(key.as_bytes());
    let found = current.config.workspace_by_key(&hash);
    found
        .map(|(name, _)| name.clone())
        .ok_or_else(|| unauthenticated("Authorization: no workspace has this key"))
}

fn open_session(
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
