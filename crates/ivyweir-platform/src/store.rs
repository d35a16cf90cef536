//! What the platform offers, apart from how it is reached.

use crate::Result;

/// A value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The value.
    pub body: Vec<u8>,
    /// Grows with every write to the store.
    pub revision: u64,
}

/// What a write expects to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// No object of that name.
    Absent,
    /// The object with this revision.
    Revision(u64),
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It took effect.
    Written {
        /// The new revision.
        revision: u64,
    },
    /// The store held something else than expected; nothing changed.
    Conflict,
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Watched {
    /// The object changed.
    Changed(Object),
    /// It did not, for as long as the watch waited.
    Unchanged,
    /// It does not exist.
    Absent,
}

/// A page of object names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Names in order.
    pub names: Vec<String>,
    /// Where the next page starts, if there is one.
    pub next_after: Option<String>,
}

/// The Object API.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    ///
    /// When the platform gives no valid answer.
    fn get(&self, name: &str) -> Result<Option<Object>>;

    /// Waits up to `wait_ms` for the object to have another revision than `after_revision`.
    ///
    /// # Errors
    ///
    /// When the platform gives no valid answer.
    fn watch(&self, name: &str, after_revision: u64, wait_ms: u64) -> Result<Watched>;

    /// Writes an object if the store holds what is expected.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unknown`](crate::ErrorKind::Unknown) when the write may have taken effect.
    fn put(&self, name: &str, body: &[u8], expect: Expect) -> Result<PutOutcome>;

    /// Deletes an object of this revision.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    fn delete(&self, name: &str, revision: u64) -> Result<PutOutcome>;

    /// Lists names that start with `prefix`, from behind `after` on.
    ///
    /// # Errors
    ///
    /// When the platform gives no valid answer.
    fn list(&self, prefix: &str, after: Option<&str>) -> Result<Listing>;
}

/// The box list.
pub trait BoxSource: Send + Sync {
    /// The list as JSON; it lags.
    ///
    /// # Errors
    ///
    /// When the platform gives no valid answer.
    fn boxes(&self) -> Result<Vec<u8>>;
}
