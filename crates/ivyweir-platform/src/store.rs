//! The platform's interfaces, independent of the transport.

use crate::Result;

/// A stored value with the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The value.
    pub body: Vec<u8>,
    /// The revision, which grows with every write to the store.
    pub revision: u64,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No object of that name exists.
    Absent,
    /// The object exists and has this revision.
    Revision(u64),
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect.
    Written {
        /// The new revision.
        revision: u64,
    },
    /// The precondition did not hold; nothing changed.
    Conflict,
}

/// The outcome of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The object changed.
    Changed(Object),
    /// The object did not change within the wait time.
    Unchanged,
    /// The object does not exist.
    Absent,
}

/// A page of object names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The names in ascending order.
    pub names: Vec<String>,
    /// The `after` argument for the next page, or `None` on the last page.
    pub next_after: Option<String>,
}

/// The Object API.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// If the platform does not return a valid response.
    fn get(&self, name: &str) -> Result<Option<Object>>;

    /// Waits up to `wait_ms` for the object to have a revision other than `known_revision`.
    ///
    /// # Errors
    ///
    /// If the platform does not return a valid response.
    fn watch(&self, name: &str, known_revision: u64, wait_ms: u64) -> Result<WatchOutcome>;

    /// Writes an object if `precondition` holds.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`](crate::ErrorKind::OutcomeUnknown) if the write may have taken
    /// effect.
    fn put(&self, name: &str, body: &[u8], precondition: Precondition) -> Result<PutOutcome>;

    /// Deletes an object if it has this revision.
    ///
    /// # Errors
    ///
    /// As for [`put`](Self::put).
    fn delete(&self, name: &str, revision: u64) -> Result<PutOutcome>;

    /// Lists the names that start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// If the platform does not return a valid response.
    fn list(&self, prefix: &str, after: Option<&str>) -> Result<Listing>;
}

/// Access to the platform's box list.
pub trait BoxListSource: Send + Sync {
    /// Returns the list as JSON. It can be out of date.
    ///
    /// # Errors
    ///
    /// If the platform does not return a valid response.
    fn box_list(&self) -> Result<Vec<u8>>;
}
