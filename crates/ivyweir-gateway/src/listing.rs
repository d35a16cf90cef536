//! This box's record in the store, and the list of the others.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::client::{ANSWER_LIMIT, Client, read_page};
use crate::dialect::{BoxRecord, Item, Topic};
use crate::state::Gateway;

/// Pauses before the boxes are listed again: soon after the start, when all others start too, then
/// seldom.
const LIST_PAUSES_S: [u64; 3] = [1, 3, 8];
const LIST_PAUSE_S: u64 = 15;

/// Keeps this box's record in the store and the list of the others.
pub async fn keep_listed(gateway: Arc<Gateway>) {
    let mut client = Client::new(gateway.settings.store_addr);
    let mut listed = false;
    let mut pauses = LIST_PAUSES_S.iter();
    while gateway.stopping_for_ms().is_none() {
        if !listed {
            listed = add_self(&gateway, &mut client).await;
        }
        let pause_s = pauses.next().copied().unwrap_or(LIST_PAUSE_S);
        sleep(Duration::from_secs(pause_s)).await;
        if let Some(records) = list(&gateway, &mut client).await {
            let me = &gateway.settings.box_name;
            // A record that says otherwise is an earlier process's of this name.
            listed = records.iter().any(|r| *r == own_record(&gateway));
            if !listed && records.iter().any(|r| r.name == *me) {
                let request = gateway.codec.remove_box(me);
                let _tried_again_next_time = client.call(request, ANSWER_LIMIT).await;
            }
            gateway.peers.replace(records);
        }
    }
}

/// Takes this box's record out of the store before it stops.
pub async fn unlist(gateway: &Gateway) {
    let mut client = Client::new(gateway.settings.store_addr);
    let request = gateway.codec.remove_box(&gateway.settings.box_name);
    if let Err(e) = client.call(request, ANSWER_LIMIT).await {
        gateway
            .log
            .line("box_not_unlisted", json!({"error": e.to_string()}));
    }
}

fn own_record(gateway: &Gateway) -> BoxRecord {
    let settings = &gateway.settings;
    BoxRecord {
        name: settings.box_name.clone(),
        hall: settings.hall.clone(),
        peer_addr: settings.peer_addr,
    }
}

/// Adds this box's record; returns whether there is one now.
async fn add_self(gateway: &Gateway, client: &mut Client) -> bool {
    let request = gateway.codec.add_box(&own_record(gateway));
    match client.call(request, ANSWER_LIMIT).await {
        Ok(answer) => answer.status.is_success() || answer.status == StatusCode::CONFLICT,
        Err(e) => {
            gateway
                .log
                .line("box_not_listed", json!({"error": e.to_string()}));
            false
        }
    }
}

/// All boxes that the store lists; none where it does not answer.
async fn list(gateway: &Gateway, client: &mut Client) -> Option<Vec<BoxRecord>> {
    let mut records = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = read_page(client, &*gateway.codec, Topic::Boxes, after.as_deref()).await;
        let page = page.ok()?;
        for entry in page.entries {
            match entry {
                Ok(Item::Box(record)) => records.push(record),
                Ok(_) => {}
                Err(e) => gateway.log.line(
                    "record_unreadable",
                    json!({"topic": "boxes", "error": e.to_string()}),
                ),
            }
        }
        after = page.next_after;
        if after.is_none() {
            return Some(records);
        }
    }
}
