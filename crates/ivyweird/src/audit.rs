//! The audit trail: the configuration holds the newest entries, archive objects the older ones.

use ivyweir_platform::{Precondition, Result};
use ivyweir_policy::{AuditEntry, Config};

use crate::document_sync::CONFIG_OBJECT;
use crate::node::Node;

const ARCHIVE_PREFIX: &str = "audit/";

/// Archives entries that are about to be removed from the configuration.
///
/// The object is named after its last entry, so that a retry writes the same object. If the
/// configuration change then loses a race, the object is left behind with entries that are still in
/// the configuration.
///
/// # Errors
///
/// If the store does not accept the object. The entries must then stay in the configuration.
pub fn archive(node: &Node, next: &Config, entries: &[AuditEntry]) -> Result<()> {
    let last_generation = entries.last().map_or(0, |e| e.generation);
    let name = format!(
        "{ARCHIVE_PREFIX}{last_generation:012}-{}",
        next.archived_entries
    );
    let body = serde_json::to_vec(entries).expect("audit entries can always be serialized as JSON");
    node.metrics.count_store_call("audit_write");
    node.store.put(&name, &body, Precondition::Absent).map(drop)
}

/// Reads all entries, oldest first and without duplicates.
///
/// # Errors
///
/// If a read from the store fails.
pub fn read_all(node: &Node) -> Result<Vec<AuditEntry>> {
    let mut entries: Vec<AuditEntry> = Vec::new();
    let mut after = None;
    loop {
        let page = node.store.list(ARCHIVE_PREFIX, after.as_deref())?;
        for name in &page.names {
            if let Some(object) = node.store.get(name)? {
                entries.extend(parse_entries(&object.body));
            }
        }
        after = page.next_after;
        if after.is_none() {
            break;
        }
    }
    if let Some(object) = node.store.get(CONFIG_OBJECT)?
        && let Ok(config) = Config::from_slice(&object.body)
    {
        entries.extend(config.audit);
    }
    entries.sort_by_key(|e| e.generation);
    entries.dedup_by_key(|e| e.generation);
    Ok(entries)
}

fn parse_entries(body: &[u8]) -> Vec<AuditEntry> {
    serde_json::from_slice(body).unwrap_or_default()
}
