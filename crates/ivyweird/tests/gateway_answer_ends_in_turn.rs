//! Streams that one upstream cuts off and the next one breaks off too.

mod common;

use std::thread;

use ivyweir_standins::edge::{
    BodyEnd, BodyFraming, EventScript, Reply, ScriptedUpstream, TestCluster, UpstreamAction,
    eventually, post_stream,
};

use common::BINARY;

const EVENTS: u64 = 12;
/// Number of the event after which the first upstream cuts the stream off.
const CUT_AFTER: u64 = 4;
/// Number of the event after which the second upstream breaks the stream off.
const BROKEN_AFTER: u64 = 7;
/// Time before each event: in it, the boxes learn of a second upstream.
const GAP_MS: u64 = 100;

fn script(framing: BodyFraming) -> EventScript {
    EventScript {
        framing,
        gap_ms: GAP_MS,
        ..EventScript::whole(EVENTS)
    }
}

/// Asks for a stream that only the first engine can begin, and adds the second one once it has.
fn ask_in_turn(cluster: &mut TestCluster, first: EventScript, second: EventScript) -> Reply {
    let added = cluster.engines.pop().expect("a second engine");
    cluster.store.put_upstream(&added.leaving_record());
    cluster.engines[0].set_action(UpstreamAction::Events(first));
    cluster.add_box("hall-a");
    let addr = cluster.addr(0);
    let caller = thread::spawn(move || post_stream(addr, "/stream/x", "r1").expect("a head"));
    eventually("the first engine runs the request", || {
        cluster.engines[0].active_requests() == 1
    });
    let next = ScriptedUpstream::start_on_own_ip("engines-next", "engines", "v1");
    next.set_action(UpstreamAction::Events(second));
    cluster.store.put_upstream(&next.record());
    cluster.engines.push(next);
    caller.join().expect("the caller gets an answer")
}

fn sends(upstream: &ScriptedUpstream) -> usize {
    upstream.received_requests().len()
}

macro_rules! in_turn {
    ($($name:ident: cut by $cut_framing:ident, then $framing:ident, torn $is_torn:expr, $end:ident;)*) => {$(
        /// Guards against a stream that is framed as complete after the second upstream of two broke it off.
        #[test]
        fn $name() {
            let mut cluster = TestCluster::start(BINARY);
            let first = EventScript {
                last_sent: Some(CUT_AFTER),
                is_torn: true,
                ..script(BodyFraming::$cut_framing)
            };
            let second = EventScript {
                last_sent: Some(BROKEN_AFTER),
                is_torn: $is_torn,
                end: BodyEnd::$end,
                ..script(BodyFraming::$framing)
            };
            let reply = ask_in_turn(&mut cluster, first.clone(), second);
            assert_eq!(sends(&cluster.engines[1]), 1);
            assert!(!reply.is_complete);
            assert_eq!(reply.text(), first.text_up_to(BROKEN_AFTER));
        }
    )*};
}

in_turn! {
    a_stream_cut_by_its_connection_and_then_lost_inside_an_event: cut by Connection, then Connection, torn true, Exit;
    a_stream_cut_by_its_connection_and_then_lost_between_events: cut by Connection, then Connection, torn false, Exit;
    a_stream_cut_by_its_connection_and_then_reset: cut by Connection, then Connection, torn false, Reset;
    a_stream_cut_by_its_last_chunk_and_then_lost_inside_an_event: cut by Chunks, then Connection, torn true, Exit;
    a_stream_cut_by_its_length_and_then_lost_without_its_last_chunk: cut by Length, then Chunks, torn false, Exit;
    a_stream_cut_by_its_connection_and_then_cut_again: cut by Connection, then Connection, torn true, Framed;
}
