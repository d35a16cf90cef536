//! Answers peers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use tokio::runtime::Runtime;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::pb;
use crate::proof::Proof;

/// Threads that wait for the network.
const IO_THREADS: usize = 2;
/// Threads for calls that wait for something else.
const MAX_WAITING_THREADS: usize = 64;
const STACK_BYTES: usize = 512 << 10;

/// What a box answers its peers. A call that is not provided is refused.
pub trait Peer: Send + Sync + 'static {
    /// Takes in a digest and gives this box's own.
    fn exchange(&self, _digest: pb::Digest) -> pb::Digest {
        pb::Digest::default()
    }

    /// Takes in a document. Returns whether it was of use.
    fn push(&self, _document: pb::Document) -> bool {
        false
    }

    /// Gives a document.
    fn fetch(&self, _request: pb::FetchRequest) -> pb::Document {
        pb::Document::default()
    }

    /// Holds billing records. Returns whether there is room.
    fn hold(&self, _request: pb::HoldRequest) -> bool {
        false
    }

    /// Lets go of billing records.
    fn release(&self, _request: pb::ReleaseRequest) {}

    /// Writes a claim; may wait for the store.
    fn claim(&self, _request: pb::ClaimRequest) -> pb::ClaimReply {
        pb::ClaimReply::default()
    }

    /// Gives a kept answer.
    fn outcome(&self, _request: pb::OutcomeRequest) -> pb::OutcomeReply {
        pb::OutcomeReply::default()
    }

    /// Runs a request that this box has the authority for; waits for the answer.
    fn forward(&self, _request: pb::ForwardRequest) -> Option<pb::ForwardReply> {
        None
    }

    /// Takes over a stopping box's sessions. Returns whether it did.
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
    /// Listens on `addr` for peers that know `fleet_key`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound or threads cannot be made.
    pub fn start(addr: &str, fleet_key: &[u8], peer: Arc<dyn Peer>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(IO_THREADS)
            .max_blocking_threads(MAX_WAITING_THREADS)
            .thread_stack_size(STACK_BYTES)
            .thread_name("peer-server")
            .enable_all()
            .build()?;
        let proof = Proof::new(fleet_key);
        let check = move |request: Request<()>| proof.check(request);
        let service = pb::peer_server::PeerServer::with_interceptor(Answering { peer }, check);
        runtime.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener)
                .expect("the listener is non-blocking and the runtime has I/O");
            let served = tonic::transport::Server::builder()
                .tcp_nodelay(true)
                .add_service(service)
                .serve_with_incoming(TcpListenerStream::new(listener));
            // It ends only with the runtime; a broken connection does not end it.
            let _ended = served.await;
        });
        Ok(Self {
            addr,
            runtime: Some(runtime),
        })
    }

    /// The address it listens on.
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

struct Answering {
    peer: Arc<dyn Peer>,
}

impl Answering {
    /// Runs a call that may wait on a thread of its own.
    async fn wait<T, F>(&self, run: F) -> Result<T, Status>
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
impl pb::peer_server::Peer for Answering {
    async fn exchange(&self, r: Request<pb::Digest>) -> Result<Response<pb::Digest>, Status> {
        Ok(Response::new(self.peer.exchange(r.into_inner())))
    }

    async fn push(&self, r: Request<pb::Document>) -> Result<Response<pb::Ack>, Status> {
        self.wait(move |p| p.push(r.into_inner())).await.map(ack)
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
        self.wait(move |p| p.claim(r.into_inner()))
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
        let reply = self.wait(move |p| p.forward(r.into_inner())).await?;
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
