//! Clients of engines, services, the store, the rating service and other boxes' operator API, beside servers whose
//! responses have no end.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ivyweir_engine::{CompletionRequest, Engine, HttpEngine};
use ivyweir_operator::Client;
use ivyweir_platform::{BoxListSource, HttpPlatform, ObjectStore};
use ivyweir_rating::{HttpRater, Rater};
use ivyweir_service::{Call, HttpService, Service};
use rstest::rstest;
use serde_json::Map;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that a server sends at most.
const ENDLESS_BYTES: usize = 256 << 20;
/// Bytes that the sockets on both sides may hold.
const SOCKET_BYTES: usize = 16 << 20;
/// Bytes of a response that a box may read.
const BOX_BYTES: usize = 8 << 20;
/// Bytes of a service's reply that a box may read.
const REPLY_BYTES: usize = 32 << 20;
/// Bytes of a response that the command line may read.
const OPERATOR_BYTES: usize = 64 << 20;

/// A response whose body has no end, in one framing. Its start is what a client expects.
#[derive(Clone, Copy)]
enum Endless {
    Length,
    Chunks,
    Connection,
    Headers,
    HeaderValue,
}

impl Endless {
    fn head(self) -> &'static str {
        match self {
            Self::Length => "content-length: 999999999999\r\n\r\n{\"pad\":\"",
            Self::Chunks => "transfer-encoding: chunked\r\n\r\n",
            Self::Connection => "connection: close\r\n\r\n{\"pad\":\"",
            Self::Headers => "x-first: y\r\n",
            Self::HeaderValue => "x-long: ",
        }
    }

    fn piece(self) -> Vec<u8> {
        match self {
            Self::Chunks => [b"4000\r\n".as_slice(), &[b' '; 0x4000], b"\r\n"].concat(),
            Self::Headers => b"x-more: y\r\n".repeat(1 << 10),
            _ => vec![b'x'; 0x4000],
        }
    }
}

/// Starts a server that sends one response without end, and returns its address and the number of bytes that were taken.
fn start_server(endless: Endless) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (connection, _) = listener.accept().expect("a connection");
        read_request(&connection);
        send(connection, endless)
    });
    (addr, server)
}

fn read_request(connection: &TcpStream) {
    let mut reader = BufReader::new(connection);
    let mut body_length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line of the head");
        if line.trim().is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or_default();
        if name.eq_ignore_ascii_case("content-length") {
            body_length = value.trim().parse().expect("a length");
        }
    }
    reader
        .read_exact(&mut vec![0; body_length])
        .expect("a body");
}

fn send(mut connection: TcpStream, endless: Endless) -> usize {
    let head = format!("HTTP/1.1 200 OK\r\netag: \"1\"\r\n{}", endless.head());
    connection.write_all(head.as_bytes()).expect("a head");
    let piece = endless.piece();
    let mut sent = 0;
    while sent < ENDLESS_BYTES && connection.write_all(&piece).is_ok() {
        sent += piece.len();
    }
    sent
}

fn complete(addr: String) -> bool {
    let request = CompletionRequest::new("m@1", "r-1", Map::new());
    HttpEngine::default()
        .complete(&addr, &request, TIMEOUT)
        .is_ok()
}

fn fetch_load(addr: String) -> bool {
    HttpEngine::default().fetch_load(&addr).is_ok()
}

fn call_service(addr: String) -> bool {
    let call = Call {
        method: "GET".into(),
        path_and_query: "/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    HttpService::default().call(&addr, &call, TIMEOUT).is_ok()
}

fn platform(addr: &str) -> HttpPlatform {
    HttpPlatform::new(format!("http://{addr}"), TIMEOUT)
}

fn get_object(addr: String) -> bool {
    platform(&addr).get("config").is_ok()
}

fn watch_object(addr: String) -> bool {
    platform(&addr).watch("config", 0, 10).is_ok()
}

fn list_objects(addr: String) -> bool {
    platform(&addr).list("c", None).is_ok()
}

fn fetch_box_list(addr: String) -> bool {
    platform(&addr).box_list().is_ok()
}

fn rate(addr: String) -> bool {
    HttpRater::new(format!("http://{addr}"))
        .rate("p", "a")
        .is_ok()
}

fn fetch_status(addr: String) -> bool {
    Client::new(format!("http://{addr}"), "key")
        .status()
        .is_ok()
}

fn check(call: fn(String) -> bool, endless: Endless, max_read_bytes: usize) {
    let (addr, server) = start_server(endless);
    assert!(!call(addr.to_string()), "taken for a whole response");
    let sent = server.join().expect("the server");
    assert!(
        sent < max_read_bytes + SOCKET_BYTES,
        "{} MB were read",
        sent >> 20
    );
}

/// Guards against a faulty server that fills the memory of the box which called it.
#[rstest]
#[case::complete(complete, BOX_BYTES)]
#[case::load(fetch_load, BOX_BYTES)]
#[case::service(call_service, REPLY_BYTES)]
#[case::object(get_object, BOX_BYTES)]
#[case::watch(watch_object, BOX_BYTES)]
#[case::listing(list_objects, BOX_BYTES)]
#[case::box_list(fetch_box_list, BOX_BYTES)]
#[case::rating(rate, BOX_BYTES)]
fn a_response_without_end_is_given_up_by_a_box(
    #[case] call: fn(String) -> bool,
    #[case] max_read_bytes: usize,
    #[values(
        Endless::Length,
        Endless::Chunks,
        Endless::Connection,
        Endless::Headers,
        Endless::HeaderValue
    )]
    endless: Endless,
) {
    check(call, endless, max_read_bytes);
}

/// Guards against a faulty box that fills the memory of the operator's machine.
#[rstest]
fn a_response_without_end_is_given_up_by_the_command_line(
    #[values(
        Endless::Length,
        Endless::Chunks,
        Endless::Connection,
        Endless::Headers,
        Endless::HeaderValue
    )]
    endless: Endless,
) {
    check(fetch_status, endless, OPERATOR_BYTES);
}
