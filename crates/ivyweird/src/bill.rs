//! The bill, computed from all billing segments in the store, and the merging of small segments.

use std::collections::HashMap;

use ivyweir_platform::{Error, ErrorKind, ObjectStore, Precondition, PutOutcome, Result};
use ivyweir_policy::billing::{Bill, Record, Segment};

use crate::node::Node;

const SEGMENT_PREFIX: &str = "bill/";
/// Listings after which reading the bill fails; each concurrent merge costs one or two.
const MAX_LISTINGS: usize = 20;
/// Smallest number of unmerged segments for which a merge is worth its store calls.
const MIN_SEGMENTS_TO_MERGE: usize = 64;
/// Largest size of a merged segment; the store accepts objects of up to one megabyte.
const MAX_MERGED_BYTES: usize = 800 << 10;

/// Reads the bill.
///
/// A merge may delete a segment between the listing and the read. The merged segment was written
/// before, so another listing includes it. Segments that were already read remain valid, because
/// [`Bill`] counts each record once.
///
/// # Errors
///
/// If not all segments can be read.
pub fn read(node: &Node) -> Result<Bill> {
    let mut segments: HashMap<String, Segment> = HashMap::new();
    for _ in 0..MAX_LISTINGS {
        let mut segment_missing = false;
        for name in list_segments(node.store.as_ref())? {
            if segments.contains_key(&name) {
                continue;
            }
            match node.store.get(&name)? {
                Some(object) => {
                    let segment = parse_segment(&name, &object.body)?;
                    segments.insert(name, segment);
                }
                None => segment_missing = true,
            }
        }
        if !segment_missing {
            return Ok(Bill::from_segments(segments.into_values()));
        }
    }
    Err(Error::new(
        ErrorKind::Refused,
        format!("bill: segments were still being merged after {MAX_LISTINGS} listings"),
    ))
}

fn parse_segment(name: &str, body: &[u8]) -> Result<Segment> {
    serde_json::from_slice(body)
        .map_err(|e| Error::new(ErrorKind::InvalidResponse, format!("segment {name}: {e}")))
}

fn list_segments(store: &dyn ObjectStore) -> Result<Vec<String>> {
    let mut names = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = store.list(SEGMENT_PREFIX, after.as_deref())?;
        names.extend(page.names);
        after = page.next_after;
        if after.is_none() {
            return Ok(names);
        }
    }
}

/// Merges small segments into large ones. Only one box may do this at a time.
///
/// The merged segment is written before its sources are deleted. If the merge is interrupted, some
/// sources remain; their records are in the merged segment as well, and readers count them once.
///
/// # Errors
///
/// If a store call fails. The merges completed so far remain valid.
pub fn merge(node: &Node) -> Result<()> {
    let names = list_segments(node.store.as_ref())?;
    let small: Vec<&String> = names
        .iter()
        .filter(|n| !n.starts_with("bill/merged/"))
        .collect();
    if small.len() < MIN_SEGMENTS_TO_MERGE {
        return Ok(());
    }
    let mut sources: Vec<(String, u64)> = Vec::new();
    let mut records: Vec<Record> = Vec::new();
    let mut bytes = 0;
    for name in small {
        let Some(object) = node.store.get(name)? else {
            continue;
        };
        if bytes + object.body.len() > MAX_MERGED_BYTES {
            write_merged(node, &mut sources, &mut records)?;
            bytes = 0;
        }
        bytes += object.body.len();
        records.extend(parse_segment(name, &object.body)?.records);
        sources.push((name.clone(), object.revision));
    }
    write_merged(node, &mut sources, &mut records)
}

fn write_merged(
    node: &Node,
    sources: &mut Vec<(String, u64)>,
    records: &mut Vec<Record>,
) -> Result<()> {
    let sources = std::mem::take(sources);
    let segment = Segment {
        records: std::mem::take(records),
    };
    if sources.len() < 2 {
        return Ok(());
    }
    let name = format!("bill/merged/{}", node.unique_name());
    let body = serde_json::to_vec(&segment).expect("a segment can always be serialized as JSON");
    node.metrics.count_store_call("bill_merge");
    match node.store.put(&name, &body, Precondition::Absent)? {
        PutOutcome::Written { .. } => {}
        PutOutcome::Conflict => return Ok(()),
    }
    for (name, revision) in sources {
        node.metrics.count_store_call("bill_delete");
        node.store.delete(&name, revision)?;
    }
    Ok(())
}
