//! A client for the store that tracks the era reported by its responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use ivyweir_policy::gateway::rollout::RolloutOrder;

use crate::client::{CallError, Client, RESPONSE_TIMEOUT};
use crate::dialect::{Page, Topic};
use crate::state::Gateway;

/// A response of the store with its whole body.
#[derive(Debug)]
pub struct StoreResponse {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
    /// The store's era as reported by this response, else the last known one, else 0.
    pub era: u64,
}

/// A page of a topic's records.
#[derive(Debug)]
pub struct StorePage {
    /// The records.
    pub page: Page,
    /// The store's era, as in [`StoreResponse`].
    pub era: u64,
    /// Size of the response body.
    pub bytes: u64,
}

/// A client for the store on a single connection; calls are sequential.
pub struct StoreClient {
    gateway: Arc<Gateway>,
    client: Client,
}

impl StoreClient {
    /// Creates a client for the store in the gateway's settings.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        let client = Client::new(gateway.settings.store_addr);
        Self { gateway, client }
    }

    /// Makes a call and updates the gateway's store era from the response.
    ///
    /// # Errors
    ///
    /// When no complete response arrives within `limit`.
    pub async fn call(
        &mut self,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<StoreResponse, CallError> {
        let response = self.client.call(request, limit).await?;
        let reported = self.gateway.store_codec.store_era(&response.headers);
        Ok(StoreResponse {
            status: response.status,
            body: response.body,
            era: self.gateway.update_store_era(reported),
        })
    }

    /// Writes the progress of a roll-out.
    ///
    /// # Errors
    ///
    /// When the name of the pool is too long, or no complete response arrives in time.
    pub async fn write_rollout(
        &mut self,
        order: &RolloutOrder,
    ) -> Result<StoreResponse, CallError> {
        let request = self.gateway.store_codec.write_rollout(order);
        let request = request.map_err(CallError::not_sendable)?;
        self.call(request, RESPONSE_TIMEOUT).await
    }

    /// Reads the page of a topic's records that starts after `after`, or the first page if it is
    /// `None`.
    ///
    /// # Errors
    ///
    /// When `after` is too long, no response arrives within `limit`, its status is not 200, or its body cannot be decoded as a page.
    pub async fn read_page(
        &mut self,
        topic: Topic,
        after: Option<&str>,
        limit: Duration,
    ) -> Result<StorePage, CallError> {
        let request = self.gateway.store_codec.list(topic, after);
        let request = request.map_err(CallError::not_sendable)?;
        let response = self.call(request, limit).await?;
        if response.status != StatusCode::OK {
            return Err(CallError::refused(response.status));
        }
        let page = self.gateway.store_codec.decode_page(topic, &response.body);
        Ok(StorePage {
            page: page.map_err(CallError::unreadable)?,
            era: response.era,
            bytes: response.body.len() as u64,
        })
    }
}
