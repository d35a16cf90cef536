//! Connections to addresses without a listener, and reuse of established connections.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ivyweir_gateway::client::{CallError, Client};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

fn unused_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

#[test]
fn a_connection_that_cannot_come_up_is_an_error() {
    let addr = unused_addr();
    let connected = runtime().block_on(Client::new(addr).connect(CONNECT_TIMEOUT));
    assert!(matches!(connected, Err(CallError::Unreachable { .. })));
}

#[test]
fn a_connection_that_comes_up_is_kept_for_the_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    runtime().block_on(async {
        let mut client = Client::new(addr);
        client.connect(CONNECT_TIMEOUT).await.expect("a connection");
        client
            .connect(CONNECT_TIMEOUT)
            .await
            .expect("the same connection");
    });
    listener.accept().expect("the connection");
    listener.set_nonblocking(true).expect("a setting");
    assert!(listener.accept().is_err(), "a second connection");
}
