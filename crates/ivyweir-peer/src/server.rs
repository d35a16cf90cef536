//! gRPC server for calls from peers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use tokio::runtime::Runtime;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::pb;
use crate::proof::FleetProof;

/// Threads that drive network I/O.
const IO_THREADS: usize = 2;
/// Maximum number of threads for calls that may block, for example on the store.
const MAX_BLOCKING_THREADS: usize = 64;
const THREAD_STACK_BYTES: usize = 512 << 10;

/// The calls that a box answers for its peers. Default implementations decline the call or return
/// an empty message.
pub trait Peer: Send + Sync + 'static {
    /// Merges a peer's digest and returns this box's own.
    fn exchange(&self, _digest: pb::Digest) -> pb::Digest {
        pb::Digest::default()
    }

    /// Receives a document. Returns whether it was accepted.
    fn push(&self, _document: pb::Document) -> bool {
        false
    }

    /// Returns a document.
    fn fetch(&self, _request: pb::FetchRequest) -> pb::Document {
        pb::Document::default()
    }

    /// Holds billing records for a peer. Returns whether there was room for them.
    fn hold(&self, _request: pb::HoldRequest) -> bool {
        false
    }

    /// Releases billing records held for a peer.
    fn release(&self, _request: pb::ReleaseRequest) {}

    /// Writes a claim; may block on the store.
    fn claim(&self, _request: pb::ClaimRequest) -> pb::ClaimReply {
        pb::ClaimReply::default()
    }

    /// Returns the stored answer for a request key.
    fn outcome(&self, _request: pb::OutcomeRequest) -> pb::OutcomeReply {
        pb::OutcomeReply::default()
    }

    /// Runs a request whose session this box holds the authority for; blocks until it is answered.
    fn forward(&self, _request: pb::ForwardRequest) -> Option<pb::ForwardReply> {
        None
    }

    /// Takes over the sessions of a stopping box. Returns whether it accepted them.
    fn hand_over(&self, _request: pb::HandOverRequest) -> bool {
        false
    }
}

/// A server that answers peers until it is dropped.
pub struct Server {
    addr: SocketAddr,
    runtime: Option<Runtime>,
}

impl Server {
    /// Starts a server on `addr` for peers that authenticate with `fleet_key`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or threads cannot be created.
    pub fn start(addr: &str, fleet_key: &[u8], peer: Arc<dyn Peer>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(IO_THREADS)
            .max_blocking_threads(MAX_BLOCKING_THREADS)
            .thread_stack_size(THREAD_STACK_BYTES)
            .thread_name("peer-server")
            .enable_all()
            .build()?;
        let proof = FleetProof::new(fleet_key);
        let check = move |request: Request<()>| proof.verify(request);
        let service = pb::peer_server::PeerServer::with_interceptor(PeerService { peer }, check);
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener)
                .expect("the listener is non-blocking and the runtime has I/O");
            let served = tonic::transport::Server::builder()
                .tcp_nodelay(true)
                .add_service(service)
                .serve_with_incoming(TcpListenerStream::new(listener));
            // The server runs until the runtime shuts down; a broken connection does not end it.
            let _ended = served.await;
        });
        Ok(Self {
            addr,
            runtime: Some(runtime),
        })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

struct PeerService {
    peer: Arc<dyn Peer>,
}

impl PeerService {
    /// Runs a call that may block on a separate thread.
    async fn run_blocking<T, F>(&self, run: F) -> Result<T, Status>
    where
        T: Send + 'static,
        F: FnOnce(&dyn Peer) -> T + Send + 'static,
    {
        let peer = self.peer.clone();
        tokio::task::spawn_blocking(move || run(peer.as_ref()))
            .await
            .map_err(|_| Status::internal("the call was cut off"))
    }
}

fn ack(accepted: bool) -> Response<pb::Ack> {
    Response::new(pb::Ack { accepted })
}

#[tonic::async_trait]
impl pb::peer_server::Peer for PeerService {
    async fn exchange(&self, r: Request<pb::Digest>) -> Result<Response<pb::Digest>, Status> {
        Ok(Response::new(self.peer.exchange(r.into_inner())))
    }

    async fn push(&self, r: Request<pb::Document>) -> Result<Response<pb::Ack>, Status> {
        self.run_blocking(move |p| p.push(r.into_inner()))
            .await
            .map(ack)
    }

    async fn fetch(&self, r: Request<pb::FetchRequest>) -> Result<Response<pb::Document>, Status> {
        Ok(Response::new(self.peer.fetch(r.into_inner())))
    }

    async fn hold(&self, r: Request<pb::HoldRequest>) -> Result<Response<pb::Ack>, Status> {
        Ok(ack(self.peer.hold(r.into_inner())))
    }

    async fn release(&self, r: Request<pb::ReleaseRequest>) -> Result<Response<pb::Ack>, Status> {
        self.peer.release(r.into_inner());
        Ok(ack(true))
    }

    async fn claim(
        &self,
        r: Request<pb::ClaimRequest>,
    ) -> Result<Response<pb::ClaimReply>, Status> {
        self.run_blocking(move |p| p.claim(r.into_inner()))
            .await
            .map(Response::new)
    }

    async fn outcome(
        &self,
        r: Request<pb::OutcomeRequest>,
    ) -> Result<Response<pb::OutcomeReply>, Status> {
        Ok(Response::new(self.peer.outcome(r.into_inner())))
    }

    async fn forward(
        &self,
        r: Request<pb::ForwardRequest>,
    ) -> Result<Response<pb::ForwardReply>, Status> {
        let reply = self
            .run_blocking(move |p| p.forward(r.into_inner()))
            .await?;
        reply
            .map(Response::new)
            .ok_or_else(|| Status::unimplemented("not the authority"))
    }

    async fn hand_over(
        &self,
        r: Request<pb::HandOverRequest>,
    ) -> Result<Response<pb::Ack>, Status> {
        Ok(ack(self.peer.hand_over(r.into_inner())))
    }
}
