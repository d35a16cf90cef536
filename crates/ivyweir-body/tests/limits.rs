//! Lengths at the limits, and large bodies at the same time.

use std::io::{self, Read};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use ivyweir_body::{BodyLimits, BodyReader};
use rstest::rstest;

const LIMITS: BodyLimits = BodyLimits {
    large_body_bytes: 100,
    max_body_bytes: 1_000,
    max_large_bodies: 2,
};

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

/// Counts the bytes that are read of a body without end.
struct Endless<'c> {
    read_bytes: &'c mut usize,
}

impl Read for Endless<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        buffer.fill(b'x');
        *self.read_bytes += buffer.len();
        Ok(buffer.len())
    }
}

/// A large body whose second part is sent when the test says so.
struct Held {
    sent_bytes: usize,
    started: Sender<()>,
    release: Receiver<()>,
}

impl Read for Held {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.sent_bytes >= LIMITS.large_body_bytes {
            self.started.send(()).expect("the test");
            self.release.recv().expect("the test");
            return Ok(0);
        }
        buffer.fill(b'x');
        self.sent_bytes += buffer.len();
        Ok(buffer.len())
    }
}

#[rstest]
#[case::empty(0)]
#[case::below_a_large_one(99)]
#[case::the_smallest_large_one(100)]
#[case::as_long_as_allowed(1_000)]
fn a_body_within_the_limit_is_read(#[case] length: usize) {
    let body = vec![b'x'; length];
    let read = BodyReader::new(LIMITS).read(body.as_slice(), soon());
    assert_eq!(read.expect("a body"), body);
}

#[test]
fn a_body_without_end_is_given_up_at_the_limit() {
    let mut read_bytes = 0;
    let body = Endless {
        read_bytes: &mut read_bytes,
    };
    let error = BodyReader::new(LIMITS)
        .read(body, soon())
        .expect_err("no end");
    assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
    assert_eq!(read_bytes, LIMITS.max_body_bytes + 1);
}

/// Guards against many bodies that are within the limit each, and fill the memory together.
#[test]
fn a_large_body_waits_while_others_are_read() {
    let reader = BodyReader::new(LIMITS);
    let (started, starts) = channel();
    let mut releases = Vec::new();
    let mut readers = Vec::new();
    for _ in 0..LIMITS.max_large_bodies {
        let (release, released) = channel();
        let body = Held {
            sent_bytes: 0,
            started: started.clone(),
            release: released,
        };
        let reader = reader.clone();
        readers.push(thread::spawn(move || reader.read(body, soon())));
        releases.push(release);
    }
    for _ in &readers {
        starts.recv().expect("a large body");
    }

    let past = Instant::now();
    let refused = reader.read([b'x'; 100].as_slice(), past);
    assert_eq!(
        refused.expect_err("no room").kind(),
        io::ErrorKind::TimedOut
    );
    reader
        .read([b'x'; 99].as_slice(), past)
        .expect("a small body");

    releases[0].send(()).expect("a reader");
    reader
        .read([b'x'; 100].as_slice(), soon())
        .expect("a large body");
    releases[1].send(()).expect("a reader");
    for running in readers {
        running.join().expect("no panic").expect("a body");
    }
}

/// Guards against room that a failed body takes for good.
#[test]
fn a_body_that_fails_gives_its_room_back() {
    let reader = BodyReader::new(LIMITS);
    for _ in 0..=LIMITS.max_large_bodies {
        let mut read_bytes = 0;
        let body = Endless {
            read_bytes: &mut read_bytes,
        };
        reader.read(body, soon()).expect_err("no end");
    }
    reader
        .read([b'x'; 500].as_slice(), soon())
        .expect("a large body");
}
