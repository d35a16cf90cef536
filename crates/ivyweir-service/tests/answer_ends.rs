//! Replies of services that end early or have a status that HTTP does not define, and whole ones without a length.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use ivyweir_service::{Call, CallError, HttpService, Reply, Service};

const TIMEOUT: Duration = Duration::from_secs(5);
const BODY: &str = "a whole body";

/// Starts a service that responds to one call with `response` and closes the connection. It then goes on, or exits.
fn start_service(response: String, exits: bool) -> SocketAddr {
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
        let kept = (!exits).then_some(listener);
        connection.write_all(response.as_bytes()).expect("sent");
        drop(connection);
        if kept.is_some() {
            thread::park();
        }
    });
    addr
}

fn call(response: &str, exits: bool) -> Result<Reply, CallError> {
    let addr = start_service(response.to_owned(), exits);
    let call = Call {
        method: "GET".into(),
        path_and_query: "/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    HttpService::default().call(&addr.to_string(), &call, TIMEOUT)
}

macro_rules! whole_replies {
    ($($name:ident: $head:expr, exits $exits:expr;)*) => {$(
        #[test]
        fn $name() {
            let reply = call(&format!("HTTP/1.1 200 OK\r\n{}\r\n{BODY}", $head), $exits);
            assert_eq!(reply.expect("a whole reply").body, BODY.as_bytes());
        }
    )*};
}

whole_replies! {
    a_reply_with_a_length_is_whole: "content-length: 12\r\n", exits false;
    a_reply_with_a_length_is_whole_though_its_service_exits: "content-length: 12\r\n", exits true;
    a_reply_that_ends_with_its_connection_is_whole: "", exits false;
}

macro_rules! broken_replies {
    ($($name:ident: $head:expr, exits $exits:expr;)*) => {$(
        /// Guards against part of a reply that is taken for the whole one.
        #[test]
        fn $name() {
            let reply = call(&format!("HTTP/1.1 200 OK\r\n{}\r\n{BODY}", $head), $exits);
            assert!(reply.expect_err("a reply cut short").may_have_run);
        }
    )*};
}

broken_replies! {
    a_reply_shorter_than_its_length_is_broken: "content-length: 13\r\n", exits false;
    a_reply_without_its_last_chunk_is_broken: "transfer-encoding: chunked\r\n", exits false;
    a_reply_that_ends_with_its_connection_and_its_service_is_broken: "", exits true;
}

macro_rules! undefined_statuses {
    ($($name:ident: $status:expr;)*) => {$(
        /// Guards against a reply that is no answer and reaches the caller as one.
        #[test]
        fn $name() {
            let reply = call(&format!("HTTP/1.1 {} X\r\ncontent-length: 12\r\n\r\n{BODY}", $status), false);
            assert!(reply.expect_err("no answer").may_have_run);
        }
    )*};
}

undefined_statuses! {
    a_status_of_zeros_is_no_answer: "000";
    a_status_of_six_hundred_is_no_answer: "600";
    the_last_status_of_three_digits_is_no_answer: "999";
}
