//! The service that a box offers to its peers.

use std::sync::Arc;

use ivyweir_peer::{Peer, pb};
use ivyweir_policy::claim::{Incarnation, Journal};

use crate::digest::{self, DigestOptions};
use crate::node::Node;
use crate::{document_sync, forward, idempotency};

/// Answers the calls of peers from the state of the box.
pub struct PeerApi {
    /// State of the box.
    pub node: Arc<Node>,
}

impl Peer for PeerApi {
    fn exchange(&self, digest: pb::Digest) -> pb::Digest {
        let diff = digest::merge(&self.node, &digest);
        // Documents that are newer at the sender are fetched when this box itself next exchanges
        // digests with it.
        let options = DigestOptions {
            members: diff.members_differ,
            version_sets: digest.wants_sets,
            wants_version_sets: diff.unknown_version_set,
        };
        let reply = digest::build(&self.node, options);
        document_sync::record_digest_bytes(&self.node, [&digest, &reply]);
        reply
    }

    fn push(&self, document: pb::Document) -> bool {
        document_sync::apply_document(&self.node, &document)
    }

    fn fetch(&self, request: pb::FetchRequest) -> pb::Document {
        document_sync::document_reply(&self.node, &request)
    }

    fn hold(&self, request: pb::HoldRequest) -> bool {
        !self.node.is_draining() && self.node.ledger.hold(request)
    }

    fn release(&self, request: pb::ReleaseRequest) {
        self.node.ledger.release(&request);
    }

    fn claim(&self, request: pb::ClaimRequest) -> pb::ClaimReply {
        idempotency::claim_reply(&idempotency::write_claim(&self.node, &request))
    }

    fn outcome(&self, request: pb::OutcomeRequest) -> pb::OutcomeReply {
        let key = Journal::entry_name(&request.workspace, &request.key);
        self.node.idempotency.outcome(&key)
    }

    fn forward(&self, request: pb::ForwardRequest) -> Option<pb::ForwardReply> {
        forward::answer(&self.node, request)
    }

    fn hand_over(&self, request: pb::HandOverRequest) -> bool {
        let from = Incarnation {
            box_name: request.r#box.as_str().into(),
            number: request.incarnation,
        };
        let used_keys = request.keys.iter().map(|k| k.as_str().into()).collect();
        let adopted = !self.node.is_draining() && self.node.idempotency.adopt(&from, used_keys);
        if adopted {
            log::info!("took over the sessions of {}", from.box_name);
        }
        adopted
    }
}
