//! Blocking client for calls to peers.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::sync::Mutex;
use std::time::Duration;

use tokio::runtime::Runtime;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};

use crate::pb;
use crate::proof::FleetProof;
use crate::{Error, Result};

type PeerClient = pb::peer_client::PeerClient<Channel>;

const IO_THREADS: usize = 1;
const THREAD_STACK_BYTES: usize = 512 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that the peer answers from memory.
const MEMORY_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that transfers a document, which can be large.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout of a call for which the peer waits for the store.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A client that calls peers and reuses its connections.
pub struct Client {
    runtime: Runtime,
    proof: FleetProof,
    channels: Mutex<HashMap<String, PeerClient>>,
}

impl Client {
    /// Creates a client that authenticates with a proof derived from `fleet_key`.
    ///
    /// # Errors
    ///
    /// If threads cannot be created.
    pub fn new(fleet_key: &[u8]) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(IO_THREADS)
            .thread_stack_size(THREAD_STACK_BYTES)
            .thread_name("peer-client")
            .enable_all()
            .build()?;
        Ok(Self {
            runtime,
            proof: FleetProof::new(fleet_key),
            channels: Mutex::new(HashMap::new()),
        })
    }

    /// Exchanges digests.
    ///
    /// # Errors
    ///
    /// If the call fails or the peer does not answer in time. The same holds for all other calls.
    pub fn exchange(&self, addr: &str, digest: pb::Digest) -> Result<pb::Digest> {
        self.call(addr, MEMORY_CALL_TIMEOUT, digest, |mut c, r| async move {
            c.exchange(r).await
        })
    }

    /// Exchanges the same digest with several peers concurrently; peers that fail or time out are
    /// left out of the result.
    pub fn exchange_all(&self, addrs: &[String], digest: &pb::Digest) -> Vec<pb::Digest> {
        let mut calls = tokio::task::JoinSet::new();
        for addr in addrs {
            let Ok(mut client) = self.client(addr) else {
                continue;
            };
            let mut request = Request::new(digest.clone());
            self.proof.attach(&mut request);
            let call = async move {
                tokio::time::timeout(MEMORY_CALL_TIMEOUT, client.exchange(request)).await
            };
            calls.spawn_on(call, self.runtime.handle());
        }
        let answers = self.runtime.block_on(calls.join_all());
        let in_time = answers.into_iter().flatten().flatten();
        in_time.map(Response::into_inner).collect()
    }

    /// Offers a document to the peer. Returns whether the peer accepted it.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn push(&self, addr: &str, document: pb::Document) -> Result<bool> {
        self.call(addr, DOCUMENT_TIMEOUT, document, |mut c, r| async move {
            c.push(r).await
        })
        .map(|ack| ack.accepted)
    }

    /// Requests a document from the peer.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn fetch(&self, addr: &str, request: pb::FetchRequest) -> Result<pb::Document> {
        self.call(addr, DOCUMENT_TIMEOUT, request, |mut c, r| async move {
            c.fetch(r).await
        })
    }

    /// Asks the peer to hold billing records. Returns whether it accepted them.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn hold(&self, addr: &str, request: pb::HoldRequest) -> Result<bool> {
        self.call(addr, MEMORY_CALL_TIMEOUT, request, |mut c, r| async move {
            c.hold(r).await
        })
        .map(|ack| ack.accepted)
    }

    /// Tells the peer to release billing records that it holds.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn release(&self, addr: &str, request: pb::ReleaseRequest) -> Result<()> {
        self.call(addr, MEMORY_CALL_TIMEOUT, request, |mut c, r| async move {
            c.release(r).await
        })
        .map(drop)
    }

    /// Asks the shard owner to write a claim for a request key.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn claim(&self, addr: &str, request: pb::ClaimRequest) -> Result<pb::ClaimReply> {
        self.call(addr, STORE_CALL_TIMEOUT, request, |mut c, r| async move {
            c.claim(r).await
        })
    }

    /// Requests the stored answer for a request key.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn outcome(&self, addr: &str, request: pb::OutcomeRequest) -> Result<pb::OutcomeReply> {
        self.call(addr, MEMORY_CALL_TIMEOUT, request, |mut c, r| async move {
            c.outcome(r).await
        })
    }

    /// Forwards a request to the box that holds the authority for its session.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange); unless [`Error::certainly_not_received`] is true, the
    /// request may have run.
    pub fn forward(
        &self,
        addr: &str,
        request: pb::ForwardRequest,
        timeout: Duration,
    ) -> Result<pb::ForwardReply> {
        self.call(addr, timeout, request, |mut c, r| async move {
            c.forward(r).await
        })
    }

    /// Hands the authority for this box's sessions over to the peer. Returns whether it accepted.
    ///
    /// # Errors
    ///
    /// See [`exchange`](Self::exchange).
    pub fn hand_over(&self, addr: &str, request: pb::HandOverRequest) -> Result<bool> {
        self.call(addr, DOCUMENT_TIMEOUT, request, |mut c, r| async move {
            c.hand_over(r).await
        })
        .map(|ack| ack.accepted)
    }

    /// Drops connections to addresses for which `keep` returns false.
    pub fn prune(&self, keep: impl Fn(&str) -> bool) {
        self.channels
            .lock()
            .expect("no thread panics while it holds the lock")
            .retain(|addr, _| keep(addr));
    }

    fn call<Q, A, F, Fut>(&self, addr: &str, timeout: Duration, message: Q, send: F) -> Result<A>
    where
        F: FnOnce(PeerClient, Request<Q>) -> Fut,
        Fut: Future<Output = std::result::Result<Response<A>, Status>>,
    {
        let client = self.client(addr)?;
        let mut request = Request::new(message);
        self.proof.attach(&mut request);
        let answer = self
            .runtime
            .block_on(async { tokio::time::timeout(timeout, send(client, request)).await });
        match answer {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(Error::from_status(&status)),
            Err(_) => Err(Error::new(format!(
                "no answer from {addr} within {timeout:?}"
            ))),
        }
    }

    fn client(&self, addr: &str) -> Result<PeerClient> {
        let mut channels = self
            .channels
            .lock()
            .expect("no thread panics while it holds the lock");
        if let Some(client) = channels.get(addr) {
            return Ok(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))
            .map_err(Error::new)?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        let _in_runtime = self.runtime.enter();
        let client = PeerClient::new(endpoint.connect_lazy());
        channels.insert(addr.to_owned(), client.clone());
        Ok(client)
    }
}
