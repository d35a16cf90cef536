//! Calls to the store and to other boxes whose responses have a status that HTTP does not define.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use hyper::Request;
use ivyweir_gateway::client::{CallError, Client};

const LIMIT: Duration = Duration::from_secs(5);

/// Starts a server that responds to one request with this status.
fn start_server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            connection.read_exact(&mut byte).expect("a request");
            request.push(byte[0]);
        }
        let response = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}");
        connection.write_all(response.as_bytes()).expect("sent");
        thread::park();
    });
    addr
}

macro_rules! undefined {
    ($($name:ident: $status:expr;)*) => {$(
        /// Guards against a write that counts as refused, and so as not applied, though nothing says so.
        #[tokio::test]
        async fn $name() {
            let mut client = Client::new(start_server($status));
            let response = client.call(Request::new("".into()), LIMIT).await;
            assert!(matches!(response, Err(CallError::ResponseLost { .. })), "{response:?}");
        }
    )*};
}

undefined! {
    a_call_answered_with_zeros_has_no_response: "000";
    a_call_answered_with_an_upgrade_has_no_response: "101";
    a_call_answered_with_six_hundred_has_no_response: "600";
    a_call_answered_with_the_last_status_has_no_response: "999";
}
