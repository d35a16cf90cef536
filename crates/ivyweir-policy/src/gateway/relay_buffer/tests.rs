use super::*;

const LIMITS: BufferLimits = BufferLimits {
    request_bytes: 100,
    total_bytes: 300,
};
const READER: ReaderLimits = ReaderLimits {
    slow_after_ms: 1_000,
    idle_timeout_ms: 8_000,
};

/// Builds a ledger with a reader for each `(arrived_ms, bytes)`, all readable.
fn ledger(readers: &[(u64, u64)]) -> (BufferLedger, Vec<ReaderId>) {
    let mut ledger = BufferLedger::new(LIMITS);
    let mut open = |&(at_ms, bytes): &(u64, u64)| {
        let id = ledger.open(READER);
        ledger.receive(id, bytes);
        ledger.deliver(id, bytes, at_ms);
        id
    };
    let ids = readers.iter().map(&mut open).collect();
    (ledger, ids)
}

macro_rules! relief {
    ($($name:ident: $readers:expr, at $now_ms:expr => ends $ended:expr, room $room:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut ledger, ids) = ledger(&$readers);
            let ended = ledger.relieve($now_ms);
            let ended: Vec<usize> = ended
                .iter()
                .map(|e| ids.iter().position(|id| *id == e.id).expect("a known reader"))
                .collect();
            let expected: Vec<usize> = $ended.to_vec();
            assert_eq!((ended, !ledger.is_used_up()), (expected, $room));
        }
    )*};
}

// Guards against ending new callers, readers that keep up, or more readers than needed.
relief! {
    nobody_is_ended_while_there_is_room: [(0, 100), (0, 100)], at 60_000 => ends [0usize; 0], room true;
    the_oldest_unread_byte_goes_first: [(500, 100), (0, 100), (900, 100)], at 5_000 => ends [1], room true;
    as_many_as_needed_are_ended: [(0, 90), (100, 90), (200, 90), (300, 150)], at 5_000 => ends [0, 1], room true;
    readers_that_keep_up_stay: [(4_500, 100), (4_600, 100), (4_700, 100)], at 5_000 => ends [0usize; 0], room false;
    the_newest_stays_beside_slow_ones: [(4_900, 200), (0, 50), (10, 50)], at 5_000 => ends [1], room true;
}

macro_rules! idle {
    ($($name:ident: arrived $at_ms:expr, written $written_ms:expr, at $now_ms:expr => $ended:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut ledger, ids) = ledger(&[($at_ms, 10)]);
            ledger.record_write(ids[0], $written_ms);
            assert_eq!(ledger.end_idle($now_ms).len(), $ended);
            assert_eq!(ledger.end_idle($now_ms).len(), 0, "a reader is ended once");
        }
    )*};
}

// Guards against closing a caller that still reads, or keeping one that does not.
idle! {
    a_caller_that_reads_nothing_is_ended: arrived 0, written 0, at 8_001 => 1;
    a_caller_within_the_time_stays: arrived 0, written 0, at 8_000 => 0;
    a_caller_that_reads_slowly_stays: arrived 0, written 60_000, at 61_000 => 0;
    a_caller_without_earlier_data_stays: arrived 60_000, written 0, at 61_000 => 0;
}

// Guards against a leak: each way in which bytes leave must free them exactly once.
#[test]
fn bytes_are_freed_exactly_once() {
    let (mut ledger, ids) = ledger(&[(0, 90), (1_500, 90)]);
    let body = ledger.open(ReaderLimits::REQUEST_BODY);
    ledger.receive(body, 200);
    assert_eq!((ledger.total_bytes(), ledger.has_room(body)), (380, false));
    let ended = ledger.relieve(2_000);
    assert_eq!(ended.len(), 1);
    assert!(!ledger.has_room(ids[1]), "the bytes are not freed yet");
    assert_eq!(
        (ended[0].held_bytes, ended[0].oldest_unread_ms),
        (90, 2_000)
    );
    ledger.close(ids[0]);
    assert!(ledger.contains(ids[0]), "its bytes are not released yet");
    ledger.release(ids[0], 40);
    ledger.release(ids[0], 50);
    assert!(!ledger.contains(ids[0]));
    ledger.release(ids[0], 50);
    ledger.discard(body, 150);
    ledger.close(body);
    assert_eq!(ledger.total_bytes(), 90);
    ledger.release(ids[1], 90);
    ledger.close(ids[1]);
    assert_eq!((ledger.total_bytes(), ledger.ending), (0, 0));
    assert_eq!(ledger.unread_total, 0);
    assert!(ledger.readers.is_empty());
}

// Guards against counting an event or a body that is still arriving as lag of its caller.
#[test]
fn incoming_bytes_make_no_reader_slow() {
    let mut ledger = BufferLedger::new(LIMITS);
    let id = ledger.open(READER);
    ledger.receive(id, 400);
    assert_eq!(ledger.relieve(60_000), []);
    assert_eq!(ledger.end_idle(60_000), []);
    assert_eq!(ledger.room(id), Room::RequestFull);
    assert!(ledger.is_clogged(id));
    let other = ledger.open(READER);
    assert_eq!(ledger.room(other), Room::TotalFull);
}

// Guards against incomplete answers that wait for each other, and against an excess of more than one of them.
#[test]
fn only_the_oldest_incomplete_answer_exceeds_the_total() {
    let mut ledger = BufferLedger::new(LIMITS);
    let body = ledger.open(ReaderLimits::REQUEST_BODY);
    ledger.receive(body, 220);
    let [first, second] = [(); 2].map(|()| ledger.open(READER));
    ledger.receive(second, 50);
    ledger.receive(first, 50);
    assert!(ledger.is_used_up());
    let room = |ledger: &BufferLedger| [body, first, second].map(|id| ledger.has_room(id));
    assert_eq!(room(&ledger), [false, true, false]);
    ledger.receive(first, 400);
    assert_eq!(room(&ledger), [false, true, false]);
    // Its caller must read the first answer before the second one may exceed the total too.
    ledger.deliver(first, 450, 0);
    ledger.close(first);
    assert_eq!(room(&ledger), [false, false, false]);
    ledger.release(first, 450);
    assert_eq!(room(&ledger), [false, true, true]);
    ledger.receive(second, 30);
    assert_eq!(room(&ledger), [false, false, true]);
    ledger.close(second);
    assert_eq!(ledger.oldest_incomplete(), None);
}

// Guards against a wait without end where the frames that exceeded the total are larger than the oldest answer.
#[test]
fn the_oldest_incomplete_answer_has_room_if_nothing_can_be_released() {
    let mut ledger = BufferLedger::new(LIMITS);
    let [first, second] = [(); 2].map(|()| ledger.open(READER));
    ledger.receive(first, 1);
    ledger.receive(second, 400);
    assert!(ledger.has_room(first));
    ledger.deliver(second, 400, 0);
    assert!(!ledger.has_room(first));
}

// Guards against bodies that use up the reserve of answers, and against a refusal where slow readers can be ended.
#[test]
fn slow_readers_are_ended_for_a_new_request() {
    let (mut ledger, ids) = ledger(&[(0, 100), (10, 100), (4_900, 50)]);
    assert!(!ledger.may_start());
    assert_eq!(ledger.relieve(5_000), [], "the total is not used up");
    let ended = ledger.make_room_to_start(5_000);
    let ended: Vec<ReaderId> = ended.iter().map(|e| e.id).collect();
    assert_eq!((ended, ledger.may_start()), (vec![ids[0]], true));
}

// Guards against counting time in which the box did not run.
#[test]
fn a_suspension_makes_no_reader_slow() {
    let (mut ledger, ids) = ledger(&[(0, 200), (0, 100)]);
    ledger.record_running(500);
    ledger.record_running(60_000);
    assert_eq!(ledger.relieve(60_000), []);
    assert_eq!(ledger.end_idle(60_000), []);
    ledger.record_running(60_900);
    ledger.record_running(61_001);
    let ended = ledger.relieve(61_001);
    let figures: Vec<_> = ended.iter().map(|e| (e.id, e.oldest_unread_ms)).collect();
    assert_eq!(figures, [(ids[0], 1_001)]);
    assert_eq!(ledger.end_idle(68_001).len(), 1);
}

// Guards against a partly written chunk that moves the age of the oldest unread byte.
#[test]
fn a_partial_release_keeps_the_age_of_the_rest() {
    let (mut ledger, ids) = ledger(&[(0, 300)]);
    ledger.receive(ids[0], 50);
    ledger.deliver(ids[0], 50, 3_000);
    ledger.release(ids[0], 40);
    assert_eq!(ledger.end_idle(8_500)[0].oldest_unread_ms, 8_500);
    let (mut ledger, ids) = self::ledger(&[(0, 300)]);
    ledger.receive(ids[0], 50);
    ledger.deliver(ids[0], 50, 3_000);
    ledger.release(ids[0], 300);
    assert_eq!(ledger.end_idle(8_500), []);
}

/// Bodies that hold these bytes and began to arrive at these times; `None` for one that has arrived whole.
macro_rules! slow_bodies {
    ($($name:ident: $bodies:expr, at $now_ms:expr => ends $ended:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut ledger = BufferLedger::new(LIMITS);
            let bodies: [(Option<u64>, u64); 3] = $bodies;
            let ids = bodies.map(|(since_ms, bytes)| {
                let id = ledger.open_body(since_ms.unwrap_or(0));
                ledger.receive(id, bytes);
                if since_ms.is_none() {
                    ledger.complete_body(id);
                }
                id
            });
            let ended = ledger.make_room_to_start($now_ms);
            let expected: Vec<ReaderId> = $ended.iter().map(|&n: &usize| ids[n]).collect();
            assert_eq!(ended.iter().map(|e| e.id).collect::<Vec<_>>(), expected);
            assert!(ended.iter().all(|e| e.reason == EndReason::SlowBody));
        }
    )*};
}

// Guards against callers that hold back the ends of their bodies until no other request can start.
slow_bodies! {
    no_body_is_ended_while_requests_can_start: [(Some(0), 70), (Some(0), 70), (None, 70)], at 5_000 => ends [];
    the_oldest_of_slow_bodies_is_ended: [(Some(100), 80), (Some(50), 80), (None, 80)], at 5_000 => ends [1];
    as_many_slow_bodies_as_needed_are_ended: [(Some(0), 20), (Some(1), 120), (Some(2), 200)], at 5_000 => ends [0, 1];
    a_body_that_has_just_begun_is_not_ended: [(Some(4_500), 150), (None, 50), (None, 50)], at 5_000 => ends [];
    a_whole_body_is_not_ended: [(None, 100), (None, 100), (None, 100)], at 5_000 => ends [];
    a_body_without_bytes_is_not_ended: [(Some(0), 0), (None, 150), (None, 150)], at 5_000 => ends [];
}
