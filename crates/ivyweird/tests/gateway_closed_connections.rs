//! What callers are promised whose requests are sent on connections that upstreams close at any moment.

mod common;

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use ivyweir_policy::gateway::fleet::UpstreamRecord;
use ivyweir_standins::edge::{KEY, KeptConnection, TestCluster, eventually};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use common::BINARY;

const SEED: u64 = 20_261_204;
const CALLERS: u64 = 4;
const REQUESTS_PER_CALLER: usize = 250;
const SMALL_BODY_BYTES: usize = 6;
/// More than is written to a socket at once.
const LARGE_BODY_BYTES: usize = 60_000;
/// Longest time for which a connection is kept that an upstream closes behind an answer.
const MAX_IDLE_US: u64 = 1_500;

/// The ids of the requests that an upstream ran.
type Runs = Arc<Mutex<Vec<String>>>;

/// An upstream that closes its connections before, while and after it reads requests.
fn start_upstream(runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound socket");
    thread::spawn(move || {
        for (seed, stream) in (SEED..).zip(listener.incoming().flatten()) {
            let runs = runs.clone();
            thread::spawn(move || {
                let _closed_by_box = serve(stream, &runs, StdRng::seed_from_u64(seed));
            });
        }
    });
    addr
}

fn serve(mut stream: TcpStream, runs: &Runs, mut random: StdRng) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut reader)? {
        if head.is_ping {
            answer(&mut stream, "200 OK", "", "")?;
            continue;
        }
        let act = random.random_range(0..8);
        match act {
            0 => return stream.shutdown(Shutdown::Both),
            1 => answer(
                &mut stream,
                "503 Service Unavailable",
                &head.id,
                "ivyweir-not-run: 1\r\n",
            )?,
            _ => {}
        }
        io::copy(&mut (&mut reader).take(head.body_bytes), &mut io::sink())?;
        if act == 1 {
            continue;
        }
        if act == 2 {
            answer(
                &mut stream,
                "503 Service Unavailable",
                &head.id,
                "ivyweir-not-run: 1\r\n",
            )?;
            continue;
        }
        runs.lock().expect("no holder panics").push(head.id.clone());
        match act {
            3 => return stream.shutdown(Shutdown::Both),
            4 => {
                stream.write_all(b"HTTP/1.1 503 Service Un")?;
                return stream.shutdown(Shutdown::Both);
            }
            _ => answer(
                &mut stream,
                "200 OK",
                &head.id,
                "ivyweir-signature: signed\r\n",
            )?,
        }
        if act == 5 {
            thread::sleep(Duration::from_micros(random.random_range(0..MAX_IDLE_US)));
            // With unread bytes of a next request, this resets the connection.
            return stream.shutdown(Shutdown::Both);
        }
    }
    Ok(())
}

struct Head {
    id: String,
    body_bytes: u64,
    is_ping: bool,
}

/// Reads the head of a request; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut head = Head {
        id: String::new(),
        body_bytes: 0,
        is_ping: first.starts_with("OPTIONS "),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            return Ok(Some(head));
        };
        match name {
            "ivyweir-request-id" => head.id = value.to_owned(),
            "content-length" => head.body_bytes = value.parse().expect("a length"),
            _ => {}
        }
    }
}

fn answer(stream: &mut TcpStream, status: &str, id: &str, headers: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nivyweir-request-id: {id}\r\n{headers}content-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

/// Sends requests on kept connections; returns the status of each that was answered.
fn ask(addr: SocketAddr, caller: u64) -> Vec<(String, u16)> {
    let auth = format!("Bearer {KEY}");
    let mut statuses = Vec::new();
    let mut kept = None;
    for number in 0..REQUESTS_PER_CALLER {
        let id = format!("{caller}-{number}");
        let path = format!("/unsafe/{id}");
        let headers = [("ivyweir-request-id", &*id), ("authorization", &*auth)];
        let is_large = number % 4 == 0;
        let bytes = if is_large {
            LARGE_BODY_BYTES
        } else {
            SMALL_BODY_BYTES
        };
        let connection = kept.take().or_else(|| KeptConnection::open(addr).ok());
        let mut connection: KeptConnection = connection.expect("the box accepts");
        if let Ok(reply) = connection.call("POST", &path, &headers, Bytes::from(vec![b'x'; bytes]))
        {
            statuses.push((id, reply.status));
            kept = Some(connection);
        }
    }
    statuses
}

/// Guards against taking a request for unsent, or for rejected, that an upstream ran before its connection closed.
#[test]
fn a_request_that_ran_on_a_connection_that_closes_is_no_promise() {
    let cluster = TestCluster::with_boxes(BINARY, &["hall-a"]);
    let runs = Runs::default();
    let record = UpstreamRecord {
        id: "closing".into(),
        addr: start_upstream(runs.clone()),
        ..cluster.services[0].record()
    };
    for upstream in &cluster.services {
        cluster.store.remove_upstream(upstream.record().name());
    }
    eventually("the upstreams are gone", || cluster.status(0, KEY) == 503);
    cluster.store.put_upstream(&record);
    eventually("the upstream is known", || cluster.status(0, KEY) == 200);
    let addr = cluster.addr(0);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| thread::spawn(move || ask(addr, caller)))
        .collect();
    let answers = callers.into_iter();
    let answers: HashMap<String, u16> = answers
        .flat_map(|caller| caller.join().expect("no caller panics"))
        .collect();
    let runs = runs.lock().expect("no holder panics").clone();
    let mut count: HashMap<&str, usize> = HashMap::new();
    for id in runs.iter().filter(|id| answers.contains_key(*id)) {
        *count.entry(id).or_default() += 1;
    }
    let repeated: Vec<_> = count.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    let mut statuses: HashMap<(u16, bool), usize> = HashMap::new();
    for (id, status) in &answers {
        *statuses
            .entry((*status, count.contains_key(&**id)))
            .or_default() += 1;
    }
    println!("statuses, and whether the request ran: {statuses:?}");
    let broken = [408, 421, 429, 503].map(|status| statuses.contains_key(&(status, true)));
    assert_eq!(broken, [false; 4], "{statuses:?}");
    assert!(statuses.contains_key(&(503, false)), "{statuses:?}");
    assert!(statuses.contains_key(&(502, true)), "{statuses:?}");
}
