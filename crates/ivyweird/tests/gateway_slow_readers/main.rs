//! Bounded buffers with real boxes and sockets: what a box holds for callers and upstreams that are slow, and whom it
//! ends when that is too much.

mod setup;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use ivyweir_policy::gateway::relay_buffer::BufferLimits;
use ivyweir_standins::edge::{
    Reply, TestCluster, UpstreamAction, call, event_ids, eventually, post_stream,
};
use setup::{
    EVENT_BYTES, LAST_CHUNK, MAX_READ_BYTES, ask_with_body, ask_without_reading, cluster, ended,
    gauge, held, logged, put_routes, read_events, running, settled, start, start_with,
};

/// Largest number of bytes in the socket buffers between a box and a caller that reads nothing.
const MAX_SOCKET_BYTES: u64 = 512 << 10;

// Guards against reading an endless answer into memory, keeping a dead caller, and an end that looks complete.
#[test]
fn a_caller_that_reads_nothing_is_held_to_its_limit_and_closed() {
    let cluster = cluster(110, 10_000);
    let limit = BufferLimits::for_memory(110).request_bytes;
    let mut caller = ask_without_reading(cluster.addr(0), "/stream/x", "silent");
    eventually("its buffer is full", || held(&cluster) >= limit);
    eventually("it is ended", || !ended(&cluster).is_empty());
    assert_eq!(ended(&cluster), [("silent".into(), "nothing_read".into())]);
    eventually("its bytes are freed", || held(&cluster) == 0);
    eventually("its request is cancelled", || running(&cluster) == 0);
    let peak = gauge(&cluster, "relay_bytes_peak").expect("bounded buffers");
    assert!(peak < limit + MAX_READ_BYTES, "{peak} bytes");
    let mut rest = Vec::new();
    // A reset is the expected end.
    let _ignored = caller.read_to_end(&mut rest);
    assert!(!rest.ends_with(LAST_CHUNK), "the stream looks complete");
}

// Guards against memory that grows with the number of slow callers, and against ending them in another order than that
// of their oldest unread bytes, or ending others.
#[test]
fn many_slow_callers_are_bounded_and_a_fast_one_receives_everything() {
    const MEMORY_MB: u64 = 8;
    const SLOW: usize = 48;
    let cluster = cluster(MEMORY_MB, 300);
    let limits = BufferLimits::for_memory(MEMORY_MB);
    let ask = |n| ask_without_reading(cluster.addr(0), "/stream/x", &format!("slow-{n}"));
    let mut slow = Vec::new();
    loop {
        let before = settled(&cluster);
        slow.push(ask(slow.len()));
        // From this mark on, slow callers are ended for new ones. Until then, the oldest unread bytes arrive in the order
        // of the callers.
        if before >= limits.body_bytes() {
            break;
        }
        eventually("its buffer is full", || {
            held(&cluster) >= before + limits.request_bytes
        });
    }
    slow.extend((slow.len()..SLOW).map(ask));
    eventually("slow callers are ended", || !ended(&cluster).is_empty());
    // After the gap target of 1 s, all of them are slow, so room can be made for a new caller.
    thread::sleep(Duration::from_millis(1_500));
    let fast = post_stream(cluster.addr(0), "/stream/x", "fast").expect("an answer");
    assert!(fast.is_complete);
    assert_eq!(event_ids(&fast.text()), (1..=300).collect::<Vec<_>>());
    let ended = ended(&cluster);
    let used_up = ended.iter().filter(|(_, reason)| reason == "total_used_up");
    let used_up: Vec<&String> = used_up.map(|(id, _)| id).collect();
    let in_order: Vec<String> = (0..used_up.len()).map(|n| format!("slow-{n}")).collect();
    assert!(!used_up.is_empty(), "{ended:?}");
    assert_eq!(used_up, in_order.iter().collect::<Vec<_>>());
    assert!(ended.iter().all(|(id, _)| id != "fast"), "{ended:?}");
    let peak = gauge(&cluster, "relay_bytes_peak").expect("bounded buffers");
    let bound = limits.total_bytes + MAX_READ_BYTES;
    assert!(peak < bound, "{peak} bytes of {bound}");
    assert!(peak > limits.total_bytes / 2, "the load is too small");
    drop(slow);
    eventually("all bytes are freed", || held(&cluster) == 0);
}

// Guards against small events that keep the read buffers alive in which they arrived, which do not count.
#[test]
fn small_events_take_little_more_memory_than_counts() {
    const SLOW: usize = 16;
    // For the allocator, and for what the estimate of an event's bookkeeping leaves out.
    const MEMORY_PER_BYTE: u64 = 2;
    let small_events = UpstreamAction::LargeEvents {
        events: 100_000,
        event_bytes: 80,
        gap_ms: 1,
    };
    let cluster = start_with(vec!["pressure"], 110, small_events);
    let limit = BufferLimits::for_memory(110).request_bytes;
    let idle_bytes = cluster.boxes[0].resident_bytes();
    let _callers: Vec<TcpStream> = (0..SLOW)
        .map(|n| ask_without_reading(cluster.addr(0), "/stream/x", &format!("slow-{n}")))
        .collect();
    let all = SLOW as u64 * limit;
    eventually("all buffers are full", || held(&cluster) >= all);
    let counted = held(&cluster);
    let kept = cluster.boxes[0].resident_bytes().saturating_sub(idle_bytes);
    // Connections, with their read buffers, take more; this is the same for events of any size.
    let bound = MEMORY_PER_BYTE * counted + SLOW as u64 * 2 * MAX_READ_BYTES;
    assert!(kept < bound, "{kept} bytes for {counted} counted ones");
}

// Guards against a relay that goes on reading for a caller that has left.
#[test]
fn the_bytes_of_a_caller_that_disappears_are_freed() {
    let cluster = cluster(110, 10_000);
    let limit = BufferLimits::for_memory(110).request_bytes;
    let caller = ask_without_reading(cluster.addr(0), "/stream/x", "leaves");
    eventually("its buffer is full", || held(&cluster) >= limit);
    assert_eq!(running(&cluster), 1);
    drop(caller);
    eventually("its bytes are freed", || held(&cluster) == 0);
    eventually("its request is cancelled", || running(&cluster) == 0);
    assert_eq!(ended(&cluster), []);
}

// Guards against a relay that notices only with the next event that its caller has left.
#[test]
fn a_silent_stream_is_cancelled_when_its_caller_disappears() {
    let cluster = cluster(110, 0);
    for engine in &cluster.engines {
        engine.set_action(events(2, 120_000, None));
    }
    let caller = ask_without_reading(cluster.addr(0), "/stream/x", "leaves");
    eventually("the stream runs", || running(&cluster) == 1);
    drop(caller);
    eventually("its request is cancelled", || running(&cluster) == 0);
}

// Guards against losing or ending the answer of a caller that is late but reads, and against taking its pause for a
// stall of the upstream, or the events after it for the upstream's pace.
#[test]
fn a_caller_that_reads_late_receives_everything() {
    let cluster = cluster(110, 200);
    let limit = BufferLimits::for_memory(110).request_bytes;
    let mut caller = ask_without_reading(cluster.addr(0), "/stream/x", "late");
    eventually("its buffer is full", || held(&cluster) >= limit);
    // The gap target of the route is 1 s, and an upstream counts as stalled after twice that.
    thread::sleep(Duration::from_millis(2_500));
    let ids = read_events(&mut caller);
    assert_eq!(ids, (1..=200).collect::<Vec<_>>());
    assert_eq!(ended(&cluster), []);
    let end = logged(&cluster, "stream_ended");
    let longest_ms = end["longest_pause_ms"].as_u64().expect("a time");
    assert!(
        longest_ms < 2_000,
        "the pause counts as the upstream's: {end}"
    );
    // The upstream went on during the pause, so what was read afterwards says nothing about its pace.
    assert!(end["pace_ms"].is_null(), "{end}");
    for event in ["stream_silent", "resumed"] {
        assert_eq!(cluster.boxes[0].event_lines(event).len(), 0, "{event}");
    }
}

// Guards against a deadline that cuts off what the upstream has sent because the caller reads it late.
#[test]
fn a_caller_that_reads_after_the_deadline_receives_everything() {
    let cluster = cluster(110, 200);
    put_routes(&cluster, 4_000);
    let limit = BufferLimits::for_memory(110).request_bytes;
    let mut caller = ask_without_reading(cluster.addr(0), "/stream/x", "late");
    eventually("its buffer is full", || held(&cluster) >= limit);
    thread::sleep(Duration::from_millis(4_500));
    assert_eq!(read_events(&mut caller), (1..=200).collect::<Vec<_>>());
    assert_eq!(ended(&cluster), []);
}

// Guards against a caller that keeps a stream open whose upstream sends nothing after the deadline.
#[test]
fn an_upstream_that_sends_nothing_is_held_to_the_deadline() {
    let cluster = cluster(110, 0);
    put_routes(&cluster, 4_000);
    for engine in &cluster.engines {
        engine.set_action(events(2, 120_000, None));
    }
    let reply = post_stream(cluster.addr(0), "/stream/x", "silent").expect("an answer");
    assert!(!reply.is_complete);
    let end = logged(&cluster, "stream_broken_off");
    assert_eq!(end["reason"], "deadline exceeded");
}

// Guards against ending callers after a suspension of the box, during which nothing could be written to them.
#[test]
fn time_in_which_the_box_did_not_run_makes_no_caller_slow() {
    // Longer than the idle limit of the route, which is 8 s.
    const STOPPED: Duration = Duration::from_secs(10);
    let cluster = cluster(110, 200);
    let limit = BufferLimits::for_memory(110).request_bytes;
    let mut caller = ask_without_reading(cluster.addr(0), "/stream/x", "reads");
    eventually("its buffer is full", || held(&cluster) >= limit);
    cluster.boxes[0].signal("STOP");
    thread::sleep(STOPPED);
    cluster.boxes[0].signal("CONT");
    // Several sweeps.
    thread::sleep(Duration::from_secs(1));
    assert_eq!(read_events(&mut caller), (1..=200).collect::<Vec<_>>());
    assert_eq!(ended(&cluster), []);
}

// Guards against plain answers that are not counted, or that outlive their caller's interest once the upstream is done.
#[test]
fn a_plain_answer_counts_until_it_is_written_or_its_caller_is_closed() {
    const EVENTS: u64 = 600;
    let cluster = cluster(110, EVENTS);
    let answer_bytes = EVENTS * EVENT_BYTES as u64;
    let _caller = ask_without_reading(cluster.addr(0), "/unsafe/x", "silent");
    eventually("the answer is held", || {
        gauge(&cluster, "relay_bytes_peak").is_some_and(|peak| peak > answer_bytes)
    });
    // What was written is freed, and a caller that reads nothing lets no more be written.
    let written = answer_bytes.saturating_sub(settled(&cluster));
    assert!(written < MAX_SOCKET_BYTES, "{written} bytes are freed");
    assert_eq!(running(&cluster), 0);
    eventually("its caller is closed", || !ended(&cluster).is_empty());
    assert_eq!(ended(&cluster), [("silent".into(), "nothing_read".into())]);
    eventually("its bytes are freed", || held(&cluster) == 0);
    let reply = post_body(cluster.addr(0), "reads", 6);
    assert!(reply.is_complete);
    assert_eq!(event_ids(&reply.text()), (1..=EVENTS).collect::<Vec<_>>());
    eventually("its bytes are freed", || held(&cluster) == 0);
}

// Guards against plain answers that use up the total before any is complete, and then wait for each other.
#[test]
fn incomplete_answers_that_use_up_the_total_are_completed() {
    const MEMORY_MB: u64 = 8;
    const EVENTS: u64 = 256;
    const ANSWER_BYTES: u64 = EVENTS * (EVENT_BYTES as u64 + 100);
    let cluster = cluster(MEMORY_MB, EVENTS);
    let addr = cluster.addr(0);
    let callers: Vec<_> = (0..6)
        .map(|n| thread::spawn(move || post_body(addr, &format!("plain-{n}"), 6)))
        .collect();
    for caller in callers {
        let reply = caller.join().expect("the caller does not panic");
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(event_ids(&reply.text()), (1..=EVENTS).collect::<Vec<_>>());
    }
    let peak = gauge(&cluster, "relay_bytes_peak").expect("bounded buffers");
    let limit = BufferLimits::for_memory(MEMORY_MB).total_bytes;
    assert!(peak >= limit, "the load is too small: {peak} bytes");
    assert!(peak < limit + ANSWER_BYTES + MAX_READ_BYTES, "{peak} bytes");
    eventually("all bytes are freed", || held(&cluster) == 0);
}

fn events(events: u64, gap_ms: u64, truncate_after: Option<u64>) -> UpstreamAction {
    UpstreamAction::Stream {
        events,
        gap_ms,
        truncate_after,
        confidence: None,
    }
}

const LARGE_EVENT: UpstreamAction = UpstreamAction::LargeEvents {
    events: 1,
    event_bytes: 200_000,
    gap_ms: 0,
};

macro_rules! streams {
    ($($name:ident: first $first:expr, then $then:expr => whole $whole:expr, events $events:expr;)*) => {$(
        #[test]
        fn $name() {
            let cluster = cluster(110, 0);
            for engine in &cluster.engines {
                engine.set_action($then);
            }
            // Each engine answers its first request in this way; a stream that is resumed may meet both.
            for engine in &cluster.engines {
                engine.set_next_actions(vec![$first]);
            }
            let reply = post_stream(cluster.addr(0), "/stream/x", "r1").expect("an answer");
            let expected: Vec<u64> = (1..).take($events).collect();
            assert_eq!((reply.is_complete, event_ids(&reply.text())), ($whole, expected));
            eventually("nothing is held", || held(&cluster) == 0);
        }
    )*};
}

// Guards against a read-ahead that loses the resumption of streams, repeats events, or hides that a stream broke off.
streams! {
    a_stream_that_breaks_is_resumed: first events(10, 5, Some(4)), then events(10, 5, None) => whole true, events 10;
    a_stream_that_stalls_is_resumed: first events(10, 60_000, None), then events(10, 5, None) => whole true, events 10;
    a_stream_that_cannot_go_on_looks_broken: first events(10, 5, Some(4)), then UpstreamAction::NotRun => whole false, events 4;
    an_event_larger_than_the_buffer_is_not_held: first LARGE_EVENT, then events(10, 5, None) => whole false, events 0;
}

/// Starts the only upstream of the pool `services`, which accepts connections and reads nothing.
fn add_upstream_that_reads_nothing(cluster: &TestCluster) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback port can be bound");
    let mut record = cluster.services[0].record();
    record.id = "services-slow".into();
    record.addr = listener.local_addr().expect("listener has an address");
    thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    cluster.store.put_upstream(&record);
    for service in &cluster.services {
        cluster.store.put_upstream(&service.leaving_record());
    }
    eventually("the box knows its upstreams", || {
        let seen = cluster.boxes[0].event_lines("upstream_changed");
        let leaving = seen.iter().filter(|line| line["change"] == "Leaving");
        let joined = seen.iter().any(|line| line["upstream"] == "services-slow");
        joined && leaving.count() == 2
    });
}

fn post_body(addr: SocketAddr, request_id: &str, bytes: usize) -> Reply {
    let headers = [
        ("ivyweir-request-id", request_id),
        ("authorization", "Bearer key-of-the-studio"),
    ];
    let body = vec![b'x'; bytes].into();
    call(addr, "POST", "/unsafe/x", &headers, body).expect("an answer")
}

// Guards against bodies that are not counted, and against a refusal before or instead of the limit.
#[test]
fn bodies_that_an_upstream_accepts_slowly_count_and_the_excess_is_refused() {
    const BODY_BYTES: usize = 60_000;
    let cluster = cluster(1, 10);
    let limit = BufferLimits::for_memory(1).body_bytes();
    add_upstream_that_reads_nothing(&cluster);
    let addr = cluster.addr(0);
    let fitting = limit as usize / BODY_BYTES;
    let waiting: Vec<_> = (0..fitting)
        .map(|n| thread::spawn(move || post_body(addr, &format!("held-{n}"), BODY_BYTES)))
        .collect();
    let all = (fitting * BODY_BYTES) as u64;
    eventually("all bodies are held", || held(&cluster) == all);
    let refused = post_body(addr, "refused", BODY_BYTES);
    assert_eq!(refused.status, 503);
    assert!(refused.headers.contains_key("retry-after"));
    assert!(
        refused.text().contains("buffers_full"),
        "{}",
        refused.text()
    );
    assert_eq!(held(&cluster), all);
    for caller in waiting {
        let reply = caller.join().expect("the caller does not panic");
        assert_eq!(reply.status, 504);
    }
    eventually("their bytes are freed", || held(&cluster) == 0);
    let next = post_stream(addr, "/stream/x", "next").expect("an answer");
    assert!(next.is_complete);
}

// Guards against bodies that are held until the deadline for callers that have left.
#[test]
fn the_body_of_a_caller_that_leaves_is_freed() {
    const BODY_BYTES: usize = 60_000;
    let cluster = cluster(110, 10);
    // Longer than the test waits.
    put_routes(&cluster, 60_000);
    add_upstream_that_reads_nothing(&cluster);
    let body = "x".repeat(BODY_BYTES);
    let caller = ask_with_body(cluster.addr(0), "/unsafe/x", "leaves", &body);
    eventually("its body is held", || held(&cluster) == BODY_BYTES as u64);
    drop(caller);
    eventually("its body is freed", || held(&cluster) == 0);
}

// Guards against reading ahead, or ending callers, where the platform does not call for it.
#[test]
fn without_the_contract_an_answer_is_read_as_fast_as_its_caller_reads() {
    let cluster = start(Vec::new(), 110, 10_000);
    let mut caller = ask_without_reading(cluster.addr(0), "/stream/x", "silent");
    eventually("the stream runs", || running(&cluster) == 1);
    // Longer than the 8 s after which a caller that reads nothing is ended with bounded buffers.
    thread::sleep(Duration::from_secs(9));
    assert_eq!(running(&cluster), 1);
    let read_ahead = BufferLimits::for_memory(110).request_bytes;
    assert!(held(&cluster) < read_ahead, "{} bytes", held(&cluster));
    assert_eq!(read_events(&mut caller), (1..=10_000).collect::<Vec<_>>());
    assert_eq!(ended(&cluster), []);
    let caller = ask_without_reading(cluster.addr(0), "/stream/x", "leaves");
    eventually("the stream runs", || running(&cluster) == 1);
    drop(caller);
    eventually("its request is cancelled", || running(&cluster) == 0);
}
