//! Authentication between peers of a fleet.

use tonic::metadata::{Ascii, MetadataValue};
use tonic::{Request, Status};

const HEADER: &str = "x-ivyweir-proof";
const KEY_CONTEXT: &str = "ivyweir peer proof";

/// A proof of fleet membership, derived from the fleet key; the key itself is never sent.
#[derive(Clone)]
pub(crate) struct FleetProof {
    expected: blake3::Hash,
    value: MetadataValue<Ascii>,
}

impl FleetProof {
    pub(crate) fn new(fleet_key: &[u8]) -> Self {
        let expected = blake3::Hash::from(blake3::derive_key(KEY_CONTEXT, fleet_key));
        let value = expected
            .to_hex()
            .as_str()
            .parse()
            .expect("hex is valid in a header");
        Self { expected, value }
    }

    pub(crate) fn attach<T>(&self, request: &mut Request<T>) {
        request.metadata_mut().insert(HEADER, self.value.clone());
    }

    /// Rejects requests without a valid proof. The comparison takes constant time.
    pub(crate) fn verify<T>(&self, request: Request<T>) -> Result<Request<T>, Status> {
        let given = request
            .metadata()
            .get(HEADER)
            .and_then(|v| v.to_str().ok())
            .and_then(|hex| blake3::Hash::from_hex(hex).ok());
        if given == Some(self.expected) {
            Ok(request)
        } else {
            Err(Status::unauthenticated("not a peer of this fleet"))
        }
    }
}
